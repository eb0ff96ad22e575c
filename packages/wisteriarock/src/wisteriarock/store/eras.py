"""The era of the store's content, as its replies and other instances name it."""

from collections.abc import Callable

from wisteriarock.http.models import Headers


class StoreEras:
    """Highest era that is known, shared by all clients of the store in this process.

    Attributes
    ----------
    known : int
        The highest era that a reply or another instance has named; 0 if none has.
    on_return : callable
        Called with the former and the new era.
    on_invalid : callable
        Called with the reason why the era of a reply is invalid.
    """

    __slots__ = ("_decode", "known", "on_invalid", "on_return")

    def __init__(self, decode: Callable[[Headers], int | str | None]) -> None:
        self._decode = decode
        self.known = 0
        self.on_return: Callable[[int, int], None] = lambda former, era: None
        self.on_invalid: Callable[[str], None] = lambda reason: None

    def observe(self, headers: Headers) -> bool:
        """Take note of the era of a reply; return False if the reply is of a former era.

        A reply without a valid era counts as one of the era that is known.
        """
        era = self._decode(headers)
        if isinstance(era, str):
            self.on_invalid(era)
            return True
        if era is None:
            return True
        self.learn(era)
        return era == self.known

    def learn(self, era: int) -> None:
        """Take note of an era that the store or another instance names."""
        if era <= self.known:
            return
        former, self.known = self.known, era
        self.on_return(former, era)
