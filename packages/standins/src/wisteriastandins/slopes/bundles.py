"""Probes of a bundle: its size, its verification and its activation."""

from collections.abc import Callable
from functools import cache

import msgspec
from wisteriarock.admission.decide import index_bundle
from wisteriarock.admission.models import AdmissionState
from wisteriarock.bundle.checks import check_content
from wisteriarock.bundle.models import BundleContent
from wisteriarock.bundle.signing import content_digest
from wisteriarock.bundle.verify import encode_body, verify_body
from wisteriarock.membership.controller import endpoint_zones
from wisteriarock.routing.decide import build_routes

from . import samples
from .gauges import cpu_us, cpu_us_fresh
from .models import Effort, Probe

ContentFactory = Callable[[int], BundleContent]


def _make_content_by_endpoints(endpoints: int) -> BundleContent:
    return samples.make_content(endpoints, 1)


def _make_content_by_callers(callers: int) -> BundleContent:
    return samples.make_content(2, callers)


@cache
def _encode_bundle(content_factory: ContentFactory, size: int) -> bytes:
    return encode_body(samples.make_signed_bundle(content_factory(size)))


def _make_body_bytes_measure(content_factory: ContentFactory) -> Callable[[int, Effort], float]:
    return lambda size, _: float(len(_encode_bundle(content_factory, size)))


def _make_decode_measure(content_factory: ContentFactory) -> Callable[[int, Effort], float]:
    return lambda size, effort: cpu_us(
        lambda: msgspec.json.decode(_encode_bundle(content_factory, size)), effort
    )


def _make_check_measure(content_factory: ContentFactory) -> Callable[[int, Effort], float]:
    def measure(size: int, effort: Effort) -> float:
        raw = msgspec.json.decode(_encode_bundle(content_factory, size))["content"]
        return cpu_us(lambda: check_content(raw).unwrap(), effort)

    return measure


def _measure_digest(size: int, effort: Effort) -> float:
    content = _make_content_by_endpoints(size)
    return cpu_us(lambda: content_digest(content), effort)


def _make_verify_measure(content_factory: ContentFactory) -> Callable[[int, Effort], float]:
    def measure(size: int, effort: Effort) -> float:
        body = _encode_bundle(content_factory, size)
        return cpu_us(lambda: verify_body(body, samples.OPERATOR_KEYS, None).unwrap(), effort)

    return measure


def _make_activation_measure(content_factory: ContentFactory) -> Callable[[int, Effort], float]:
    """Return a function that measures what all components derive from a new bundle.

    The assignment of endpoints to holders is not included.
    """

    def measure(size: int, effort: Effort) -> float:
        signed = samples.make_signed_bundle(content_factory(size))
        active = samples.make_active_bundle(2)._replace(content=signed["content"])

        def prepare() -> Callable[[], object]:
            state = AdmissionState()

            def work() -> None:
                encode_body(signed)
                index_bundle(state, active, 0.0)
                build_routes(active.content)
                endpoint_zones(active)

            return work

        return cpu_us_fresh(prepare, effort)

    return measure


def bundle_probes() -> list[Probe]:
    """Return the probes of a bundle; checked contents stay below the limit of 1 MB."""
    probes = []
    for content_factory, size_name, sizes, checked_sizes in (
        (
            _make_content_by_endpoints,
            "endpoints",
            (8_000, 16_000, 32_000, 63_000),
            (500, 1_000, 2_000, 4_000),
        ),
        (_make_content_by_callers, "callers", (250, 500, 1_000, 2_000), (250, 500, 1_000, 2_000)),
    ):
        verify_title = "bundle, decode and verify the body"
        probes += [
            Probe(
                "bundle, body", size_name, "bytes", sizes, _make_body_bytes_measure(content_factory)
            ),
            Probe(
                "bundle, decode JSON", size_name, "us", sizes, _make_decode_measure(content_factory)
            ),
            Probe(
                "bundle, check content",
                size_name,
                "us",
                checked_sizes,
                _make_check_measure(content_factory),
            ),
            Probe(
                verify_title, size_name, "us", checked_sizes, _make_verify_measure(content_factory)
            ),
            Probe(
                "bundle, put in force",
                size_name,
                "us",
                sizes,
                _make_activation_measure(content_factory),
            ),
        ]
    sizes = (8_000, 16_000, 32_000, 63_000)
    probes.append(Probe("bundle, digest", "endpoints", "us", sizes, _measure_digest))
    return probes
