"""Upstream member with canned answers, cheap enough not to be the bottleneck."""

import struct

from twisted.internet import protocol

from pomelograde.core import accounts
from pomelograde.net import _frames

SALT = b"synthetic-upstrm"
TRUSTED_USER = "forwarder"
TERM = 1


def _one_row_answer(*values):
    fields = [
        _frames.cstring(f"c{number}") + _frames.COLUMN.pack(0, 0, 25, -1, -1, 0)
        for number in range(len(values))
    ]
    description = struct.pack(">H", len(values)) + b"".join(fields)
    row = _frames.data_row([value.encode("utf-8") for value in values])
    done = _frames.command_complete("SELECT 1")
    return _frames.frame(b"T", description) + row + done + _frames.ready_for_query()


class SyntheticProtocol(protocol.Protocol):
    """Connection that answers each query with a canned answer.

    Parameters
    ----------
    factory : SyntheticFactory
        Member that the connection belongs to.
    """

    def __init__(self, factory):
        self.factory = factory
        self.reader = None
        self.scram = None

    def connectionMade(self):  # noqa: N802
        """Disable Nagle's algorithm."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data):  # noqa: N802
        """Answer the queries and messages of whole frames."""
        if self.reader is None:
            data = self._read_startup(data)
        answers = []
        for kind, frame in self.reader.feed(data):
            if kind == ord("Q"):
                answers.append(self.factory.answer(frame))
            elif kind == ord("p"):
                self._authenticate(frame[5:])
            elif kind == ord("X"):
                self.transport.loseConnection()
        if answers:
            self.transport.write(b"".join(answers))

    def _read_startup(self, data):
        (length,) = struct.unpack_from(">I", data)
        parameters = _frames.read_startup(data[4:length]).ok_value
        self.reader = _frames.FrameReader()
        if parameters["user"] == TRUSTED_USER:
            self._accept(b"")
        else:
            body = struct.pack(">I", 10) + b"SCRAM-SHA-256\0\0"
            self.transport.write(_frames.frame(b"R", body))
        return data[length:]

    def _authenticate(self, payload):
        if self.scram is None:
            message = _frames.SASL_INITIAL.parse(payload)
            self.scram = accounts.make_server(self.factory.auth_info)
            accounts.set_client_first(self.scram, message.response.decode())
            first = self.scram.get_server_first().encode()
            self.transport.write(_frames.frame(b"R", struct.pack(">I", 11) + first))
            return
        self.scram.set_client_final(payload.decode())
        final = self.scram.get_server_final().encode()
        self._accept(_frames.frame(b"R", struct.pack(">I", 12) + final))

    def _accept(self, prefix):
        self.transport.write(
            prefix
            + _frames.frame(b"R", struct.pack(">I", 0))
            + _frames.frame(b"K", struct.pack(">II", 1, 1))
            + _frames.ready_for_query()
        )


class SyntheticFactory(protocol.Factory):
    """Member that answers immediately and stores nothing.

    Parameters
    ----------
    name, role, leader : str
        Member name, role and primary that the member reports as its status.
    password : str
        Password of all database roles.
    """

    noisy = False

    def __init__(self, name, role, leader, password):
        self.name = name
        self.role = role
        self.leader = leader
        self.auth_info = accounts.make_verifier(password, SALT).auth_info()
        self.answers = {}

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of a new connection."""
        return SyntheticProtocol(self)

    def answer(self, frame):
        """Return the answer to a query frame."""
        answer = self.answers.get(frame)
        if answer is None:
            answer = self._make_answer(frame[5:-1].decode("utf-8"))
            self.answers[frame] = answer
        return answer

    def _make_answer(self, sql):
        if "pomelograde.status" in sql:
            term = str(TERM)
            return _one_row_answer(
                self.name, self.role, term, term, term, "1", self.leader, "f"
            )
        if "pomelograde.position" in sql or "pomelograde.wait_majority" in sql:
            return _one_row_answer(str(TERM), "1")
        if "pomelograde." in sql:
            return _one_row_answer("t")
        verb = sql.split(None, 1)[0].upper()
        if verb == "SELECT":
            return _one_row_answer("18250")
        tag = "INSERT 0 1" if verb == "INSERT" else verb
        return _frames.command_complete(tag) + _frames.ready_for_query()
