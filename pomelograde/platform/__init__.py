"""Adapter to the hosting platform: its protocols, documents and HTTP calls.

The adapter only translates and makes no decisions. The platform's terms machine,
zone, tenant and back end are instance, data centre, client account and upstream
in the rest of the code.
"""
