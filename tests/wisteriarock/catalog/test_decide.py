"""Tests of configuration versions, route matching and weighted routes."""

from collections import Counter

from wisteriarock.catalog.decide import adopt, match_route, pick_service
from wisteriarock.catalog.models import Catalog, WeightedService

from tests.common import function_suite
from tests.wisteriarock.samples import make_configuration, make_rng, make_single_service_route


def test_only_a_newer_version_is_adopted():
    """Guards against a late reply of the store that puts an older configuration in force."""
    catalog = Catalog()
    assert adopt(catalog, make_configuration(7, make_single_service_route(prefix="/new/")), 0.0)
    assert not adopt(catalog, make_configuration(6, make_single_service_route(prefix="/old/")), 1.0)
    assert not adopt(catalog, make_configuration(7, make_single_service_route(prefix="/old/")), 1.0)
    assert match_route(catalog, "shop.example", "/old/1") is None


def test_longest_prefix_wins():
    """Guards against a request being matched to a shorter prefix."""
    catalog = Catalog()
    short = make_single_service_route("short", prefix="/a/")
    long = make_single_service_route("long", prefix="/a/b/")
    adopt(catalog, make_configuration(1, long, short), 0.0)
    assert match_route(catalog, "shop.example", "/a/b/c") is long
    assert match_route(catalog, "shop.example", "/a/b/") is long
    assert match_route(catalog, "shop.example", "/a/bc") is short
    assert match_route(catalog, "shop.example", "/a") is None
    assert match_route(catalog, "shop.example", "/b/a/b/") is None
    assert match_route(catalog, "other.example", "/a/b/") is None


def test_root_prefix_matches_every_path_of_its_host():
    """Guards against a route for a whole host not being matched."""
    catalog = Catalog()
    root = make_single_service_route("root", prefix="/")
    adopt(catalog, make_configuration(1, root), 0.0)
    assert match_route(catalog, "shop.example", "/any/thing") is root


def test_weights_hold_over_short_runs():
    """Guards against shares that deviate from their weights for seconds, as with random choice."""
    catalog = Catalog()
    targets = (WeightedService("old", 3.0), WeightedService("new", 1.0))
    route = make_single_service_route(targets=targets)
    adopt(catalog, make_configuration(1, route), 0.0)
    rng = make_rng()
    for _ in range(5):
        counts = Counter(pick_service(catalog, route, rng) for _ in range(20))
        assert abs(counts["new"] - 5) <= 1, counts


def test_changed_weights_apply():
    """Guards against the round-robin state of an earlier version affecting changed weights."""
    catalog = Catalog()
    rng = make_rng()
    before = make_single_service_route(
        targets=(WeightedService("old", 1.0), WeightedService("new", 1.0))
    )
    adopt(catalog, make_configuration(1, before), 0.0)
    for _ in range(7):
        pick_service(catalog, before, rng)
    after = make_single_service_route(
        targets=(WeightedService("old", 0.0), WeightedService("new", 1.0))
    )
    adopt(catalog, make_configuration(2, after), 1.0)
    counts = Counter(pick_service(catalog, after, rng) for _ in range(50))
    assert counts["old"] <= 1, counts


load_tests = function_suite(globals())
