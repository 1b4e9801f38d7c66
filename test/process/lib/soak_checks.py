"""What may not happen to a request around planned work, from what callers, engines and the gateways' logs show."""
import collections
import re
from dataclasses import dataclass

from soak_gateways import GRACE_S
from stop_checks import LATE_WORK_S, LAST_SEND_S, NOT_RUN_STATUSES, Finding

# After its last byte a request that is not passed on may still cross the end of its connection.
CROSSING_S = 0.2
HANG_UP_S = 2
CONFIGURATION_S = 3
TIMEOUT_MARGIN_S = 0.3
OVERLAP_S = 0.4


@dataclass
class Record:
    """All that is known of a round. Times are of one clock."""

    began_at: float
    sent: list
    runs: list
    engines: list
    gateways: list
    # Pairs of the time of a configuration and its routes' shortest timeout in seconds
    configurations: list

    def __post_init__(self):
        self.runs_of = collections.defaultdict(list)
        for run in self.runs:
            self.runs_of[run.request].append(run)
        self.calls_of = collections.defaultdict(list)
        for engine in self.engines:
            for request, moment, text in list(engine.calls):
                self.calls_of[request].append((moment, "engine %s: %s" % (engine.name, text)))
        self.lines_of = collections.defaultdict(list)
        for gateway in self.gateways:
            for line in gateway.logged():
                request = re.search(r'\brequest="?([^" ]+)', line)
                if request:
                    self.lines_of[request[1]].append("%s: %s" % (gateway.instance, line))

    def at(self, moment):
        return "%.3f" % (moment - self.began_at) if moment else "never"

    def shortest_timeout(self, sent):
        end = sent.ended_at or float("inf")
        before = [timeout for moment, timeout in self.configurations if moment < sent.began_at - CONFIGURATION_S][-1:]
        near = [timeout for moment, timeout in self.configurations if sent.began_at - CONFIGURATION_S <= moment <= end]
        return min(before + near)

    def planned_work(self, sent):
        """Returns the names of the planned work around a request."""
        incarnation, end = sent.incarnation, sent.ended_at or float("inf")
        names = []
        if incarnation.signalled_at and end >= incarnation.signalled_at:
            names.append("SIGTERM")
        if any(moment <= end and sent.began_at <= moment + HANG_UP_S for moment in incarnation.hang_ups):
            names.append("SIGHUP")
        if any(moment <= end and sent.began_at <= moment + CONFIGURATION_S for moment, _ in self.configurations[1:]):
            names.append("configuration")
        return names

    def describe(self, sent):
        incarnation = sent.incarnation
        text = "caller of %s: began %s, sent %s, ended %s, status %s, whole %s, %d bytes, %s, new connection %s; %s"
        lines = [text % (
            incarnation.gateway.instance, self.at(sent.began_at), self.at(sent.sent_at), self.at(sent.ended_at),
            sent.status, sent.is_whole, sent.received, sent.problem, sent.is_connection_new,
            sent.order.header_fields(sent.request))]
        lines.append("gateway: began %s, SIGTERM %s, gone %s, killed %s; planned work: %s" % (
            self.at(incarnation.began_at), self.at(incarnation.signalled_at), self.at(incarnation.exited_at),
            incarnation.was_killed, ", ".join(self.planned_work(sent)) or "none"))
        lines += ["run at %s: began %s, ended %s: %s" % (run.endpoint, self.at(run.began_at), self.at(run.ended_at),
                                                         run.end) for run in self.runs_of[sent.request]]
        lines += ["%s %s" % (self.at(moment), text) for moment, text in sorted(self.calls_of[sent.request])]
        return lines + self.lines_of[sent.request]


class SoakChecks:
    """Each check yields findings. `excuses` counts what is not counted as lost, and why."""

    def __init__(self, record):
        self.record = record
        self.excuses = collections.Counter()
        self.excused = []

    def findings(self):
        table = {"whole answers": self.whole_answers, "bodies are the engine's": self.true_bodies,
                 "not run is true": self.true_refusals, "not repeatable runs once": self.single_runs,
                 "a stream runs at one engine": self.single_engines, "gateways leave in time": self.planned_exits}
        return [(Finding(name, text, sent.request if sent else ""), self.record.describe(sent) if sent else [])
                for name, check in table.items() for text, sent in check()]

    def whole_answers(self):
        for sent in self.record.sent:
            if sent.sent_at is None or sent.is_answered() or sent.ended_at is None:
                continue
            excuse = self.excuse(sent)
            if excuse:
                self.excuses[excuse] += 1
                self.excused.append((excuse, sent))
            else:
                yield "%s to %s: status %s, %s" % (sent.request, sent.order.route, sent.status, sent.problem), sent

    def excuse(self, sent):
        record, runs = self.record, self.record.runs_of[sent.request]
        if not runs and sent.status is None and sent.ended_at - sent.sent_at <= CROSSING_S:
            return "crossed the close"
        if runs and runs[-1].end == "broken off":
            return "engine broke off"
        if self.is_unread(sent):
            return "reset unread"
        if sent.ended_at >= sent.deadline_at - TIMEOUT_MARGIN_S:
            return "deadline"
        timeout = record.shortest_timeout(sent)
        if sent.ended_at - sent.began_at >= timeout - TIMEOUT_MARGIN_S:
            return "route's timeout"
        signalled_at = sent.incarnation.signalled_at
        if signalled_at and runs and sent.sent_at <= signalled_at + LAST_SEND_S:
            if any(run.ended_at is None or run.ended_at >= signalled_at + LATE_WORK_S for run in runs):
                return "worked late in the grace time"
        if sent.gave_up and not (signalled_at and sent.ended_at >= signalled_at + GRACE_S):
            return "caller gave up"
        return ""

    def is_unread(self, sent):
        """Returns whether a close crossed a request that the gateway had not read: it resets only such connections."""
        is_reset = sent.status is None and sent.problem.startswith("ConnectionResetError")
        is_known = self.record.runs_of[sent.request] or self.record.lines_of[sent.request]
        return is_reset and sent.incarnation.gateway.is_log_read and not is_known

    def true_bodies(self):
        for sent in self.record.sent:
            if sent.status == 200 and sent.problem.startswith("wrong body"):
                runs = self.record.runs_of[sent.request]
                if not runs or runs[-1].end != "broken off" or sent.order.framing != "none":
                    yield "%s: %s" % (sent.request, sent.problem), sent

    def true_refusals(self):
        for sent in self.record.sent:
            says_not_run = not sent.is_signed and (sent.status in NOT_RUN_STATUSES or sent.run == "no")
            if says_not_run and self.record.runs_of[sent.request]:
                yield "%s: status %s, but it ran" % (sent.request, sent.status), sent

    def single_runs(self):
        for sent in self.record.sent:
            if sent.order.route == "write" and len(self.record.runs_of[sent.request]) > 1:
                yield "%s ran %d times" % (sent.request, len(self.record.runs_of[sent.request])), sent

    def single_engines(self):
        for sent in self.record.sent:
            runs = self.record.runs_of[sent.request] if sent.order.route == "draft" else []
            for before, after in zip(runs, runs[1:]):
                if before.ended_at is None or before.ended_at > after.began_at + OVERLAP_S:
                    yield "%s runs at %s and %s" % (sent.request, before.endpoint, after.endpoint), sent

    def planned_exits(self):
        for gateway in self.record.gateways:
            for incarnation in gateway.incarnations:
                gone = "%s after %s" % (gateway.instance, self.record.at(incarnation.began_at))
                if incarnation.was_killed:
                    yield "%s is killed" % gone, None
                elif incarnation.process.returncode:
                    yield "%s ends with %s" % (gone, incarnation.process.returncode), None
                elif incarnation.exited_at and incarnation.signalled_at is None:
                    yield "%s ends by itself" % gone, None
