"""Rank by fair share: under overload, who asks beyond its share is refused first.

Answers the load of organisations that compete for less room than they ask for. See
docs/design/fair-shares.md.
"""

__all__ = ["FairRank"]


class FairRank:
    """Ranks the requests of one origin by the demand of their organisations."""

    def __init__(self, now_s: float):
        raise NotImplementedError

    def set_weights(self, weights: dict[str, float]) -> None:
        """Replace the weights of the organisations; 1 for those without.

        Args:
            weights: Weight by the name of the organisation, above 0.
        """
        raise NotImplementedError

    def record_request(self, organisation: str, now_s: float) -> None:
        """Count a request of an organisation, whether it is admitted or not."""
        raise NotImplementedError

    def rank(
        self, organisation: str, request_id: str, priority: int, now_s: float
    ) -> float:
        """Return the rank of a request, in the band of its priority.

        Args:
            organisation: Name of its organisation; empty for none.
            request_id: Id of the root request.
            priority: Priority, 0 (most important) to `PRIORITY_COUNT - 1`.
            now_s: Current time on the monotonic clock.

        Returns:
            A number in [0, 1), see `rank_request`.
        """
        raise NotImplementedError
