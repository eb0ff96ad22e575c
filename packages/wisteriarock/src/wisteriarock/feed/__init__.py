"""Distributes changes of the store between instances, so that few of them call the store.

In each zone one instance, the relay, watches the store. The others follow the relay of their own
zone and that of another zone. The relay role is a soft lease: two relays in a zone, or none, only
cost additional calls to the store.
"""
