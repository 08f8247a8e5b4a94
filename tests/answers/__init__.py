"""Tests of the interface to operators, the platform, and scripts that read logs and reports.

These tests write the interface's names as literals on purpose: calls of the admin server, keys of settings
files, exit codes and fields of JSON reports must not change when identifiers in the code are renamed.
"""
