"""Tests of the clients that stay on their connections."""

import asyncio

import testtools

from soak import clients, history


class SessionTests(testtools.TestCase):
    def run_session(self, *steps):
        """Play a session; steps are requests that are sent, or data from the server.

        Returns
        -------
        Session
            The session at the end.
        """

        async def play():
            reader = asyncio.StreamReader()
            writer = type("W", (), {"write": lambda *_: None, "close": lambda *_: None})
            session = clients.Session(reader, writer())
            for step in steps:
                if isinstance(step, clients.Request):
                    session.send([step], b"")
                elif step is None:
                    reader.feed_eof()
                else:
                    reader.feed_data(step)
                for _ in range(5):
                    await asyncio.sleep(0)
            session.reading.cancel()
            return session

        return asyncio.run(play())

    def request(self, name):
        return clients.Request(
            name, "READ k", "c1.1", False, "meters", "k", {}, 0, 0.0, sent_at=0.0
        )

    def test_answers_belong_to_requests_in_their_order(self):
        first, second = self.request("c1.1.1"), self.request("c1.1.2")
        session = self.run_session(
            first, second, b"DATAROW 3\r\nCOMPLETE d\r\nREA", b"DY I 1.1\r\n", None
        )
        self.assertEqual(clients.ANSWERED, first.end)
        self.assertEqual(["DATAROW 3", "COMPLETE d", "READY I 1.1"], first.lines)
        self.assertEqual(history.Outcome.ACKNOWLEDGED, first.outcome)
        self.assertEqual((clients.CLOSED, []), (second.end, second.lines))
        self.assertEqual(history.Outcome.UNKNOWN, second.outcome)
        self.assertEqual([], session.strays)

    def test_answer_that_is_cut_off_is_not_a_whole_one(self):
        request = self.request("c1.1.1")
        self.run_session(request, b"DATAROW 3\r\nCOMPLETE d\r\nREADY I", None)
        self.assertEqual(clients.CLOSED, request.end)

    def test_announced_end_answers_the_next_request(self):
        request = self.request("c1.1.1")
        session = self.run_session(
            b"ERROR RETRY instance is stopping\r\n", request, b"READY I -\r\n"
        )
        self.assertTrue(session.is_announced)
        self.assertEqual(history.Outcome.NOT_RUN, request.outcome)
        self.assertEqual([], session.strays)

    def test_lines_that_answer_nothing_are_kept(self):
        session = self.run_session(b"READY I -\r\n")
        self.assertEqual(["READY I -"], session.strays)
        session = self.run_session(b"ERROR RETRY a\r\nERROR RETRY b\r\n")
        self.assertEqual(["ERROR RETRY b"], session.strays)
