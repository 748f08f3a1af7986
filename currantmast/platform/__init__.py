"""Adapter to the platform: its headers, stored documents, settings and store API.

No module outside this package and the stand-ins uses the platform's names.
"""
