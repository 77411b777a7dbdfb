"""Writes to sockets without a turn through the reactor."""

from twisted.internet import tcp


def send(transport, data):
    """Write data, at once where the socket takes it.

    Parameters
    ----------
    transport : ITransport
        Transport of a connection.
    data : bytes
        What to write.

    Notes
    -----
    Twisted's `write` always waits for the reactor to find the socket
    writable, which takes two changes of the poll set and one more turn of the
    event loop. A plain TCP transport with nothing buffered is written to
    directly; what the socket does not take, and any error, is left to `write`.
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
