"""Entry hosts on a virtual clock; messages are encoded and pass a faulty network."""

import heapq
from itertools import count
from random import Random

from redwingswitch._internal.configuration.document import make_document
from redwingswitch._internal.daemon.assembly import parse_document
from redwingswitch._internal.decisions.entry_host import EntryHost
from redwingswitch._internal.models import actions, events
from redwingswitch._internal.models.members import Seed
from redwingswitch._internal.network.codec import decode_message, encode_message
from tests.lib.operator_files import VALID_FILE

DOMAINS = {"entry-1": "hobart", "entry-2": "bruny"}


class VirtualFleet:
    """Two hosts; the first one watches the store.

    ``faults(random, data)`` returns the (delay, bytes) deliveries of a message.
    """

    def __init__(self, *, faults, seed):
        self.now_ms = 0
        self.random = Random(seed)
        self.dispatched = []
        self.answers = []
        self._faults = faults
        self._order = count()
        self._deliveries = []
        self.hosts = {name: self._create_host(name, domain) for name, domain in DOMAINS.items()}

    def _create_host(self, name, domain):
        host = EntryHost(
            host=name,
            failure_domain=domain,
            incarnation=100,
            abstain_until_ms=0,
            random_source=Random(self.random.getrandbits(32)),
        )
        host.membership.set_seeds([Seed(n, d) for n, d in DOMAINS.items() if n != name], 0)
        return host

    def accept(self, revision):
        document = make_document(
            text=VALID_FILE, revision=revision, apply_id="a", operator="o", previous=None
        )
        self.submit("entry-1", events.StoreDocumentArrived(document, revision))

    def submit(self, name, event):
        self._perform(name, self.hosts[name].handle(event, self.now_ms))

    def run_until(self, end_ms, done=lambda: False):
        while not done():
            due = [(host.next_deadline_ms(), name) for name, host in self.hosts.items()]
            deadline_ms, name = min(pair for pair in due if pair[0] is not None)
            delivery_ms = self._deliveries[0][0] if self._deliveries else deadline_ms
            self.now_ms = max(self.now_ms, min(deadline_ms, delivery_ms))
            if self.now_ms >= end_ms:
                return
            if self._deliveries and delivery_ms <= deadline_ms:
                _, _, name, data = heapq.heappop(self._deliveries)
                self.submit(name, events.PeerMessageArrived(*decode_message(data)))
            else:
                self.submit(name, events.TimerFired())

    def _perform(self, name, requested_actions):
        host = self.hosts[name]
        for action in requested_actions:
            match action:
                case actions.SendToPeer():
                    self._send(host, action)
                case actions.ApplyDocument():
                    applied = host.apply_configuration(parse_document(action.document), self.now_ms)
                    self._perform(name, applied)
                case actions.AcquireLease() if name == "entry-1":
                    self.submit(name, events.LeaseGranted(1, 1, action.asked_ms))
                case actions.AcquireLease():
                    self.submit(name, events.LeaseRefused())
                case actions.DispatchRequest():
                    self.dispatched.append(action.request_id)
                case actions.AnswerCaller():
                    self.answers.append(action.header)

    def _send(self, host, action):
        data = encode_message(
            sender=host.host, incarnation=host.incarnation, message=action.message
        )
        for delay_ms, delivered in self._faults(self.random, data):
            entry = (self.now_ms + delay_ms, next(self._order), action.host, delivered)
            heapq.heappush(self._deliveries, entry)
