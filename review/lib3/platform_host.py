"""Stand-ins for the platform's store and for the members of one service.

The project's own stand-ins, with what the users' pages say of members beyond
them: each commit reaches each replica after that replica's own delay, a member
that crashes has no listening port, and its row stays for three check-ins.

Reads its configuration, a JSON object, from the first argument:

zones : list of [zone, region, receive delay in seconds]
    One member each; the first one is the primary.
synchronous_replicas : int
    `syncReplicas` of the service.
check_in_s : float
    Time between the check-ins of a member.
promote_s : float
    Time from a promotion's call to its effect.

Prints the addresses as JSON, and then serves until it is ended.
"""

import json
import random
import sys

from twisted.internet import reactor, task
from twisted.web import server

from pomelograde.standins import http
from pomelograde.standins.hosting import host, member

MISSED_CHECK_INS = 3
FAILING = frozenset(("READ", "WRITE", "SET", "PARSE", "EXECUTE"))


class DelayedGroup(member.Group):
    """Members whose commits arrive at each replica after its own delay."""

    def __init__(self, name, members, limit, clock):
        super().__init__(name, members, limit, clock)
        self.delays = {}
        self.commit_count = 0

    def commit(self, member_found, writes, done):
        """Append writes, and send them to the replicas with their number."""
        self.commit_count += 1
        super().commit(member_found, writes, done)

    def replicate(self):
        """Send the part of the log that exists now, which arrives later."""
        for primary in self.members:
            if primary.role != member.PRIMARY or primary.down:
                continue
            length = len(primary.log)
            for other in self.members:
                if other is not primary and other.role == member.REPLICA:
                    self.reactor.callLater(
                        self.delays[other.name], self._arrive, other, primary, length
                    )

    def _arrive(self, replica, primary, length):
        is_refused = (
            replica.paused_term
            or replica.down
            or primary.down
            or replica.is_store_cut
            or primary.is_store_cut
            or replica.term > primary.term
            or replica.role != member.REPLICA
            or primary.role != member.PRIMARY
        )
        if is_refused:
            return
        if replica.term < primary.term or len(replica.log) < length:
            replica.log = list(primary.log[:length])
            replica.term = primary.term
        replica.applied = len(replica.log)
        self._answer_received(replica, primary)


class FailingProtocol(member.MemberProtocol):
    """Connection to a member that fails a share of the clients' requests.

    Statements that clients cannot send, and those that end a transaction, do not
    fail. A request that fails changes nothing.
    """

    shares = {}
    random = random.Random(1)

    def _query(self, execution, text):
        verb = text.split(" ", 3)[2] if text.startswith("AFTER ") else text.split()[0]
        share = self.shares.get(self.member.name, 0.0)
        if verb in FAILING and self.random.random() < share:
            self.execution = execution
            execution.text = text
            self._error("FAILED")
            return
        super()._query(execution, text)


class FailingFactory(member.MemberFactory):
    """Creates the protocols of connections to one member."""

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of a new connection."""
        return FailingProtocol(self.group, self.member)


class PlatformHost(host.Host):
    """Store and members, with crashes that follow the users' pages."""

    def __init__(self, clock, configuration):
        super().__init__(clock)
        self.configuration = configuration
        self.check_in_s = configuration["check_in_s"]
        zones = configuration["zones"]
        members = [
            member.Member(f"i-{zone}", zone, member.REPLICA) for zone, _, _ in zones
        ]
        members[0].role = member.PRIMARY
        self.group = DelayedGroup(host.SERVICE, members, host.CONNECTION_LIMIT, clock)
        self.group.synchronous_replicas = configuration["synchronous_replicas"]
        self.group.delays = {
            found.name: delay
            for found, (_, _, delay) in zip(members, zones, strict=True)
        }
        self.promotion_s = configuration["promote_s"]
        self.listening = {}
        self.factories = {}
        self.silent_since = {}
        self.effects = []

    def start(self):
        """Listen on all ports, start the check-ins and return the addresses."""
        for found in self.group.members:
            self.factories[found.name] = FailingFactory(self.group, found)
            self._open(found)
        manifest = json.loads(json.dumps(host.MANIFEST))
        manifest["services"][0]["syncReplicas"] = self.group.synchronous_replicas
        self.tables.put("op", "config", json.dumps(manifest).encode())
        check_ins = task.LoopingCall(self.write_member_rows)
        check_ins.clock = self.reactor
        check_ins.start(self.check_in_s)
        return {
            "store": f"127.0.0.1:{self._listen(server.Site(self.store_resource))}",
            "control": f"127.0.0.1:{self._listen(server.Site(Control(self)))}",
        }

    def crash(self, name, for_s):
        """End a member's process; it comes back with its log."""
        found = self.find(name)
        found.down = True
        self.silent_since[name] = self.reactor.seconds()
        self.listening.pop(name).stopListening()
        found.reset()
        self.reactor.callLater(for_s, self._return, found)

    def cut(self, name, for_s):
        """Cut a member off from the store and from the other members."""
        found = self.find(name)
        found.is_store_cut = True
        self.silent_since[name] = self.reactor.seconds()
        self.reactor.callLater(for_s, self._heal, found)

    def _heal(self, found):
        found.is_store_cut = False

    def restore(self):
        """Let the store return from its copy; rows that are in it expire anew."""
        self.tables.restore()
        self.store_resource._answer_pending_polls()
        self.silent_since = dict.fromkeys(self.silent_since, self.reactor.seconds())

    def _return(self, found):
        found.down = False
        self._open(found)
        self.write_member_rows()

    def _open(self, found):
        factory = self.factories[found.name]
        factory.noisy = False
        port = self.ports.get(found.name, 0)
        listening = self.reactor.listenTCP(port, factory, interface="127.0.0.1")
        self.listening[found.name] = listening
        self.ports[found.name] = listening.getHost().port

    def _promote(self, group_member):
        if group_member.down or group_member.role == member.PRIMARY:
            return
        self.effects.append(
            {
                "member": group_member.name,
                "log": [request_id for _, _, request_id in group_member.log],
                "other_logs": {
                    found.name: len(found.log) for found in self.group.members
                },
            }
        )
        self.group.promote(group_member.name)
        self.write_member_rows()

    def write_member_rows(self):
        """Write the rows of members; those of silent ones go after a while."""
        self.seq += 1
        now = self.reactor.seconds()
        for found in self.group.members:
            if found.down or found.is_store_cut:
                expires_at = self.silent_since[found.name]
                expires_at += MISSED_CHECK_INS * self.check_in_s
                row, _ = self.tables.rows.get(("servers", found.name), (None, 0))
                if now >= expires_at and row is not None:
                    self.store_resource.put("servers", found.name, None)
                continue
            row = member.format_registration(
                self.group, found, self.ports[found.name], self.seq
            )
            self.store_resource.put("servers", found.name, row)
        self.group.demote_replaced()


class Control(host.MemberResource):
    """Control interface for the script, not part of the platform."""

    def render_GET(self, request):  # noqa: N802
        """Return the promotions with the promoted member's log, or a member."""
        if request.path == b"/effects":
            return http.answer(request, 200, self.host.effects)
        return super().render_GET(request)

    def render_POST(self, request):  # noqa: N802
        """Crash or cut members for a time, or let one fail some of its requests."""
        if request.path == b"/restore":
            self.host.restore()
            return http.answer(request, 200, {})
        if request.path == b"/cut":
            body = http.read_body(request)
            self.host.cut(body["member"], body["for_s"])
            return http.answer(request, 200, {})
        if request.path == b"/grey":
            body = http.read_body(request)
            FailingProtocol.shares[body["member"]] = body["share"]
            FailingProtocol.random.seed(body.get("seed"))
            return http.answer(request, 200, {})
        if request.path == b"/crash":
            body = http.read_body(request)
            for name in body["members"]:
                self.host.crash(name, body["for_s"])
            return http.answer(request, 200, {})
        return super().render_POST(request)


def main():
    """Serve until the process is ended."""
    started = PlatformHost(reactor, json.loads(sys.argv[1]))
    print(json.dumps(started.start()), flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
