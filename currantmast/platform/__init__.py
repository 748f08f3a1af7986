"""The adapter to the platform: its headers, documents, settings and store calls.

Nothing outside this package knows how the platform spells things.
"""
