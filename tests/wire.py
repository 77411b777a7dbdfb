"""PostgreSQL protocol client that sends and receives single frames."""

import socket
import struct

import scramp

from pomelograde.net import _frames

TIMEOUT_S = 10.0


class RawCaller:
    """Blocking connection to an instance.

    Parameters
    ----------
    port : int
        Caller port of the instance.
    """

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port), TIMEOUT_S)
        self.reader = _frames.FrameReader()
        self.frames = []
        self.process_id = 0
        self.secret = 0

    def close(self):
        """Close the connection."""
        self.socket.close()

    def send(self, data):
        """Send bytes as they are."""
        self.socket.sendall(data)

    def read(self):
        """Return type letter and bytes of the next frame; None at end of stream."""
        while not self.frames:
            try:
                data = self.socket.recv(65536)
            except ConnectionResetError:
                return None
            if not data:
                return None
            self.frames.extend(self.reader.feed(data))
        kind, frame = self.frames.pop(0)
        return chr(kind), frame

    def read_until_ready(self):
        """Return the frames up to ReadyForQuery (included) or the end of stream."""
        frames = []
        while True:
            frame = self.read()
            if frame is None:
                return frames
            frames.append(frame)
            if frame[0] == "Z":
                return frames

    def authenticate(self, key, password, service, **parameters):
        """Send the startup message, authenticate by SCRAM, and return the rest.

        The frames returned are those from the server's final SCRAM message to
        ReadyForQuery.
        """
        startup = {"user": key, "database": service, **parameters}
        self.send(_frames.startup(startup))
        client = scramp.ScramClient(["SCRAM-SHA-256"], key, password)
        self.read()
        first = client.get_client_first().encode()
        body = b"SCRAM-SHA-256\0" + struct.pack(">I", len(first)) + first
        self.send(_frames.frame(b"p", body))
        client.set_server_first(self.read()[1][9:].decode())
        self.send(_frames.frame(b"p", client.get_client_final().encode()))
        frames = self.read_until_ready()
        for kind, frame in frames:
            if kind == "K":
                self.process_id, self.secret = struct.unpack(">II", frame[5:13])
        return frames

    def query(self, sql):
        """Run a simple query and return the frames of the answer."""
        self.send(_frames.query(sql))
        return self.read_until_ready()


def errors(frames):
    """Return the fields of each ErrorResponse among the frames."""
    return [_frames.read_error(frame) for kind, frame in frames if kind == "E"]


def rows(frames):
    """Return the values of each DataRow among the frames."""
    return [_frames.read_row(frame) for kind, frame in frames if kind == "D"]
