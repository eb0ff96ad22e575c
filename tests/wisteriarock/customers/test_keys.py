"""Tests of the decision to which customer a key belongs."""

from wisteriarock.catalog.decide import adopt
from wisteriarock.catalog.models import Catalog, Customer
from wisteriarock.customers.const import KEY_NEWS_AGE_MAX_MS
from wisteriarock.customers.keys import (
    MAYBE_NEW,
    NO_KEY,
    NOT_LOADED,
    UNKNOWN,
    digest_key,
    find_customer,
)

from tests.common import function_suite
from tests.wisteriarock.samples import make_configuration


def _customer(name: str, *keys: bytes) -> Customer:
    return Customer(name, frozenset(map(digest_key, keys)), None, 0.0, 0.0)


def _catalog(*customers: Customer) -> Catalog:
    catalog = Catalog()
    adopt(catalog, make_configuration(1)._replace(customers=customers, needs_key=True), 0.0)
    return catalog


def test_unknown_key_is_refused_for_good_only_with_recent_news():
    """Guards against a 401 for a key that was added while the instance was cut off."""
    catalog = _catalog(_customer("school", b"k-1"))
    known, unknown = digest_key(b"k-1"), digest_key(b"k-2")
    old_ms = KEY_NEWS_AGE_MAX_MS + 1.0
    assert find_customer(catalog, unknown, 0.0, is_loaded=True) is UNKNOWN
    assert find_customer(catalog, unknown, old_ms, is_loaded=True) is MAYBE_NEW
    assert find_customer(catalog, None, old_ms, is_loaded=True) is NO_KEY
    for news_age_ms in (0.0, old_ms):
        found = find_customer(catalog, known, news_age_ms, is_loaded=True)
        assert isinstance(found, Customer) and found.name == "school"


def test_stale_first_read_brings_no_key_back():
    """Guards against a restarted instance that runs a key which was withdrawn before its start."""
    catalog = _catalog(_customer("school", b"k-1"))
    for key in (b"k-1", b"k-2"):
        assert find_customer(catalog, digest_key(key), 0.0, is_loaded=False) is NOT_LOADED


def test_withdrawn_key_is_unknown_from_the_next_version_on():
    """Guards against an index that keeps keys of earlier versions, or takes older ones."""
    catalog = _catalog(_customer("school", b"k-1", b"k-2"))
    later = make_configuration(5)._replace(customers=(_customer("school", b"k-2"),))
    earlier = make_configuration(4)._replace(customers=(_customer("school", b"k-1"),))
    assert adopt(catalog, later, 0.0) and not adopt(catalog, earlier, 0.0)
    assert find_customer(catalog, digest_key(b"k-1"), 0.0, is_loaded=True) is UNKNOWN


def test_key_of_two_customers_is_no_key():
    """Guards against a request that counts for either of two customers by chance."""
    customers = [_customer(name, b"both", name.encode()) for name in ("choir", "school", "museum")]
    for order in (customers, customers[::-1]):
        catalog = _catalog(*order)
        assert find_customer(catalog, digest_key(b"both"), 0.0, is_loaded=True) is UNKNOWN
        found = find_customer(catalog, digest_key(b"school"), 0.0, is_loaded=True)
        assert isinstance(found, Customer) and found.name == "school"
        assert catalog.customers_with_shared_keys == {"choir", "school", "museum"}


load_tests = function_suite(globals())
