"""A loopback proxy whose faults are switched from outside."""

import enum
import select
import socket
import struct
import threading
import time

CHUNK_BYTES = 65536
POLL_S = 0.05
SLOW_S = 0.4  # five times what a store answers in


class Mode(enum.Enum):
    """What happens to the bytes."""

    PASS = "pass"
    SILENT = "silent"
    ONE_WAY = "one way"
    RESET = "reset"
    SLOW = "slow"


class Proxy:
    """Passes connections on to one address.

    Parameters
    ----------
    target : str
        ``HOST:PORT`` that they go to.

    Attributes
    ----------
    address : str
        ``HOST:PORT`` that it listens on.
    mode : Mode
        What happens to the bytes of all its connections.
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
        """Close everything."""
        self.closed = True
        self.listener.close()

    def _accept(self):
        while not self.closed:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._carry, args=(near,), daemon=True).start()

    def _carry(self, near):
        try:
            far = socket.create_connection(self.target)
        except OSError:
            near.close()
            return
        with near, far:
            while not self.closed and self._carry_once(near, far):
                pass

    def _carry_once(self, near, far):
        """Pass on what has come; returns whether the connection goes on."""
        if self.mode is Mode.RESET:
            linger = struct.pack("ii", 1, 0)
            near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            return False
        if self.mode is Mode.SILENT:
            time.sleep(POLL_S)
            return True
        ready, _, _ = select.select([near, far], [], [], POLL_S)
        for source in ready:
            try:
                data = source.recv(CHUNK_BYTES)
                if not data:
                    return False
                if self.mode is Mode.SLOW:
                    time.sleep(SLOW_S)
                if source is near:
                    far.sendall(data)
                elif self.mode is not Mode.ONE_WAY:
                    near.sendall(data)
            except OSError:
                return False
        return True
