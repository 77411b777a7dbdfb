"""The platform's call that makes a member lead."""

from pomelograde.platform import http

OK = 200
UnavailableError = http.UnavailableError


class Promotions:
    """Orders promotions.

    Parameters
    ----------
    http : HttpClient
        Client of the address that takes such calls.
    holder : str
        Name of this instance.
    """

    UnavailableError = http.UnavailableError

    def __init__(self, http, holder):
        self.http = http
        self.holder = holder

    async def promote(self, service, member, fence):
        """Make a member lead the next term; returns whether it will.

        Raises
        ------
        UnavailableError
            If nothing is known of the outcome.
        """
        status, _ = await self.http.call(
            "promote",
            "POST",
            "/promote",
            body={"service": service, "id": member},
            Lease_Holder=self.holder,
            Fencing_Token=str(fence),
        )
        return status == OK
