"""Client of the platform's call that promotes a member."""

from pomelograde.platform import http

STATUS_OK = 200
UnavailableError = http.UnavailableError


class PromotionClient:
    """Requests promotions.

    Parameters
    ----------
    http_client : HttpClient
        Client of the failover service.
    holder : str
        Name of this instance, which is sent as ``Lease-Holder``.
    """

    UnavailableError = http.UnavailableError

    def __init__(self, http_client, holder):
        self.http_client = http_client
        self.holder = holder

    async def promote(self, service, member, fence):
        """Make a member the primary of the next term.

        Parameters
        ----------
        service, member : str
            Database service and name of the member.
        fence : int
            Fencing token of the takeover.

        Returns
        -------
        bool
            Whether the platform accepted the promotion.

        Raises
        ------
        UnavailableError
            If there is no valid answer, so that the outcome is unknown.
        """
        answer = await self.http_client.call(
            "promote",
            "POST",
            "/promote",
            body={"service": service, "id": member},
            Lease_Holder=self.holder,
            Fencing_Token=str(fence),
        )
        return answer.status == STATUS_OK
