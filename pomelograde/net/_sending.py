"""Immediate writes to sockets, bypassing the reactor."""

from twisted.internet import tcp


def send(transport, data):
    """Write data, immediately where the socket accepts it.

    Parameters
    ----------
    transport : ITransport
        Transport of a connection.
    data : bytes
        Bytes to write.

    Notes
    -----
    Twisted's `write` always waits until the reactor reports the socket as
    writable, which costs two updates of the poll set and one more iteration of
    the event loop. A plain TCP transport without buffered data is written to
    directly; `write` handles any remaining bytes and errors.
    """
    if (
        not isinstance(transport, tcp.Connection)
        or transport.TLS
        or not transport.connected
        or transport.disconnecting
        or transport._tempDataBuffer
        or len(transport.dataBuffer) > transport.offset
    ):
        transport.write(data)
        return
    sent = transport.writeSomeData(data)
    if not isinstance(sent, int) or sent < 0:
        transport.write(data)
    elif sent < len(data):
        transport.write(data[sent:])
