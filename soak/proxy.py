"""TCP proxy on the loopback interface that injects network faults."""

import enum
import select
import socket
import struct
import threading
import time

CHUNK_BYTES = 65536
POLL_INTERVAL_S = 0.05
SLOW_DELAY_S = 0.4  # per chunk; five times the usual answer time of a store


class Mode(enum.Enum):
    """How bytes are forwarded.

    Attributes
    ----------
    PASS
        Forwarded both ways.
    SILENT
        Held back both ways; the connection stays open.
    ONE_WAY
        Forwarded to the server; its answers are dropped.
    RESET
        The connection is closed with a TCP reset.
    SLOW
        Forwarded after `SLOW_DELAY_S`.
    """

    PASS = "pass"
    SILENT = "silent"
    ONE_WAY = "one way"
    RESET = "reset"
    SLOW = "slow"


class Proxy:
    """Forwards TCP connections to one address.

    Parameters
    ----------
    target : str
        ``HOST:PORT`` of the server.

    Attributes
    ----------
    address : str
        ``HOST:PORT`` that it listens on.
    mode : Mode
        How bytes of all connections are forwarded; may be set at any time.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.mode = Mode.PASS
        self.closed = False
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Close the listener and end all connections."""
        self.closed = True
        self.listener.close()

    def _accept(self):
        while not self.closed:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._forward, args=(client,), daemon=True).start()

    def _forward(self, client):
        try:
            server = socket.create_connection(self.target)
        except OSError:
            client.close()
            return
        with client, server:
            while not self.closed and self._forward_available(client, server):
                pass

    def _forward_available(self, client, server):
        """Forward the bytes received, and return whether the connection stays open."""
        if self.mode is Mode.RESET:
            linger = struct.pack("ii", 1, 0)  # on with 0 s: close() sends a reset
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            return False
        if self.mode is Mode.SILENT:
            time.sleep(POLL_INTERVAL_S)
            return True
        ready, _, _ = select.select([client, server], [], [], POLL_INTERVAL_S)
        for source in ready:
            try:
                data = source.recv(CHUNK_BYTES)
                if not data:
                    return False
                if self.mode is Mode.SLOW:
                    time.sleep(SLOW_DELAY_S)
                if source is client:
                    server.sendall(data)
                elif self.mode is not Mode.ONE_WAY:
                    client.sendall(data)
            except OSError:
                return False
        return True
