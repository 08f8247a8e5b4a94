"""The software's contract with operators, with the platform, and with scripts that read logs and reports.

The names in these tests are literals on purpose: calls of the admin server, keys of settings files, exit
codes and fields of JSON reports stay as they are, whatever the code behind them is called.
"""
