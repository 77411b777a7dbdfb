"""Blocking PostgreSQL connections for the load driver."""

import socket
import struct

import scramp

from pomelograde.net import _frames

READY_IDLE = b"Z\0\0\0\5I"
RECEIVE_BYTES = 65_536


def connect(host, port, user, password, database):
    """Open and authenticate a connection.

    Parameters
    ----------
    host, port : str, int
        Address.
    user, password, database : str
        Credentials and database.

    Returns
    -------
    socket.socket
        Blocking socket, ready for a query.

    Raises
    ------
    ConnectionError
        If the server refuses the connection or closes it.
    """
    connection = socket.create_connection((host, port), timeout=20.0)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.sendall(_frames.startup({"user": user, "database": database}))
    reader = _frames.FrameReader()
    client = scramp.ScramClient(["SCRAM-SHA-256"], user, password)
    while True:
        data = connection.recv(RECEIVE_BYTES)
        if not data:
            raise ConnectionError("server closed the connection during authentication")
        for kind, frame in reader.feed(data):
            if kind == ord("Z"):
                return connection
            if kind == ord("E"):
                raise ConnectionError(_frames.read_error(frame).get("M", ""))
            if kind == ord("R"):
                _authenticate(connection, client, frame)


def _authenticate(connection, client, frame):
    (code,) = struct.unpack_from(">I", frame, 5)
    text = frame[9:].decode("utf-8")
    if code == 10:
        first = client.get_client_first().encode("utf-8")
        body = _frames.cstring("SCRAM-SHA-256") + _frames.LENGTH.pack(len(first))
        connection.sendall(_frames.frame(b"p", body + first))
    elif code == 11:
        client.set_server_first(text)
        connection.sendall(
            _frames.frame(b"p", client.get_client_final().encode("utf-8"))
        )
    elif code == 12:
        client.set_server_final(text)
