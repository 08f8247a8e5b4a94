"""What the software answers to operators, to the platform, and to scripts that read logs and reports.

The names here are literals on purpose. They are the contract of the operators' address, of the settings
files, of exit codes and of JSON reports, and stay as they are whatever the code behind them is called.
"""
