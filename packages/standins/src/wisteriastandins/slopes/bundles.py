"""Probes of a bundle: its bytes, its checks, and what a new one in force costs."""

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

Sized = Callable[[int], BundleContent]


def _by_endpoints(endpoints: int) -> BundleContent:
    return samples.content_of(endpoints, 1)


def _by_callers(callers: int) -> BundleContent:
    return samples.content_of(2, callers)


@cache
def _body(sized: Sized, size: int) -> bytes:
    return encode_body(samples.signed_of(sized(size)))


def _bytes(sized: Sized) -> Callable[[int, Effort], float]:
    return lambda size, _: float(len(_body(sized, size)))


def _decode(sized: Sized) -> Callable[[int, Effort], float]:
    return lambda size, effort: cpu_us(lambda: msgspec.json.decode(_body(sized, size)), effort)


def _check(sized: Sized) -> Callable[[int, Effort], float]:
    def measure(size: int, effort: Effort) -> float:
        raw = msgspec.json.decode(_body(sized, size))["content"]
        return cpu_us(lambda: check_content(raw).unwrap(), effort)

    return measure


def _digest(size: int, effort: Effort) -> float:
    content = _by_endpoints(size)
    return cpu_us(lambda: content_digest(content), effort)


def _verify_body(sized: Sized) -> Callable[[int, Effort], float]:
    def measure(size: int, effort: Effort) -> float:
        body = _body(sized, size)
        return cpu_us(lambda: verify_body(body, samples.OPERATOR_KEYS, None).unwrap(), effort)

    return measure


def _put_in_force(sized: Sized) -> Callable[[int, Effort], float]:
    """Measure what each part derives from a new bundle, without the assignment of holders."""

    def measure(size: int, effort: Effort) -> float:
        signed = samples.signed_of(sized(size))
        active = samples.active_of(2)._replace(content=signed["content"])

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
    """Return the probes of a bundle; contents that are checked stay below the 1 MB allowed."""
    probes = []
    for sized, counted, sizes, checked in (
        (_by_endpoints, "endpoints", (8_000, 16_000, 32_000, 63_000), (500, 1_000, 2_000, 4_000)),
        (_by_callers, "callers", (250, 500, 1_000, 2_000), (250, 500, 1_000, 2_000)),
    ):
        verify = "bundle, decode and verify the body"
        probes += [
            Probe("bundle, body", counted, "bytes", sizes, _bytes(sized)),
            Probe("bundle, decode JSON", counted, "us", sizes, _decode(sized)),
            Probe("bundle, check content", counted, "us", checked, _check(sized)),
            Probe(verify, counted, "us", checked, _verify_body(sized)),
            Probe("bundle, put in force", counted, "us", sizes, _put_in_force(sized)),
        ]
    sizes = (8_000, 16_000, 32_000, 63_000)
    probes.append(Probe("bundle, digest", "endpoints", "us", sizes, _digest))
    return probes
