"""Checks of one planned stop, from what callers and endpoints saw and from the gateway's log."""
import collections
import re
from dataclasses import dataclass

GRACE_S = 8
DRAIN_DELAY_S = 2.6
IDLE_EXIT_S = 1
# After the signal a load balancer sends no more than this long.
LAST_SEND_S = 3
# Work that still goes on in the last sixth of the grace time may be cut.
LATE_WORK_S = GRACE_S * 5 / 6
CLOSE_S = 0.2
NOT_RUN_STATUSES = {503, 429, 408, 421}
# Between an event at the gateway and the time that a caller takes for it.
CLOCK_MARGIN_S = 0.3
FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')


@dataclass
class Finding:
    check: str
    text: str
    request: str = ""


class Log:
    """The events of a gateway's log."""

    def __init__(self, text):
        self.lines = [(dict(FIELD.findall(line)), line) for line in text.splitlines()]

    def events(self, name):
        return [fields for fields, _ in self.lines if fields.get("event") == name]

    def lines_of(self, request):
        return [line for fields, line in self.lines if fields.get("request", "").strip('"') == request]


@dataclass
class Evidence:
    """All that is known of a round. Times are of one clock."""

    is_idle: bool
    signalled_at: float
    exited_at: float
    exit_status: int
    was_killed: bool
    sent: list
    runs: list
    log: Log

    def __post_init__(self):
        self.runs_of = collections.defaultdict(list)
        for run in self.runs:
            self.runs_of[run.request].append(run)

    def after_signal(self, moment):
        return moment - self.signalled_at

    def describe(self, request):
        """Returns what caller, endpoints and log show of a request."""
        lines = []
        for sent in self.sent:
            if sent.request == request:
                moments = ["%s=%+.3f" % (name, self.after_signal(getattr(sent, name)))
                           for name in ("began_at", "sent_at", "ended_at") if getattr(sent, name) is not None]
                lines.append("caller: %s status=%s signed=%s whole=%s run=%s problem=%s new_connection=%s %s" % (
                    " ".join(moments), sent.status, sent.is_signed, sent.is_whole, sent.run, sent.problem,
                    sent.is_connection_new, sent.order.header_fields(request)))
        for run in self.runs_of[request]:
            ended = "%+.3f" % self.after_signal(run.ended_at) if run.ended_at else "never"
            lines.append("endpoint %s: began %+.3f, ended %s: %s" % (
                run.endpoint, self.after_signal(run.began_at), ended, run.end))
        return lines + self.log.lines_of(request)


class Checks:
    """Each check is a method that yields a text, and the request if it is about one."""

    def __init__(self, evidence):
        self.evidence = evidence

    def findings(self):
        table = {"gone without SIGKILL": self.gone_in_time,
                 "whole answers": self.whole_answers,
                 "late requests are answered": self.late_requests,
                 "not run is true": self.true_refusals,
                 "not repeatable runs once": self.single_runs,
                 "requests that were read are answered": self.answered_requests,
                 "the log tells the stop": self.logged_stop,
                 "the log tells each cut": self.logged_cuts,
                 "the log's counts agree": self.agreeing_counts}
        for name, check in table.items():
            for text, request in check():
                yield Finding(name, text, request)

    def gone_in_time(self):
        evidence = self.evidence
        needed = evidence.after_signal(evidence.exited_at)
        if evidence.was_killed:
            yield "killed at %.1f s" % GRACE_S, ""
        elif evidence.is_idle and needed > DRAIN_DELAY_S + IDLE_EXIT_S:
            yield "idle, gone after %.2f s" % needed, ""
        elif evidence.exit_status != 0:
            yield "exit status %d" % evidence.exit_status, ""

    def may_be_cut(self, sent):
        """Returns true after an endpoint broke off, and for a response that had begun and was worked on to the last."""
        evidence = self.evidence
        runs = evidence.runs_of[sent.request]
        is_late = any(run.ended_at is None or evidence.after_signal(run.ended_at) >= LATE_WORK_S for run in runs)
        return runs[-1].end == "broken off" or (sent.status is not None and sent.sent_at is not None and is_late)

    def passed_on_without_answer(self, is_late):
        evidence = self.evidence
        for sent in evidence.sent:
            is_sent_late = sent.sent_at is not None and evidence.after_signal(sent.sent_at) > LAST_SEND_S
            if is_sent_late == is_late and evidence.runs_of[sent.request] and not sent.is_answered():
                yield sent

    def whole_answers(self):
        for sent in self.passed_on_without_answer(is_late=False):
            if not self.may_be_cut(sent):
                yield "%s to %s: %s" % (sent.request, sent.order.route, sent.problem), sent.request

    def late_requests(self):
        for sent in self.passed_on_without_answer(is_late=True):
            yield "%s to %s: %s" % (sent.request, sent.order.route, sent.problem), sent.request

    def true_refusals(self):
        for sent in self.evidence.sent:
            says_not_run = not sent.is_signed and (sent.status in NOT_RUN_STATUSES or sent.run == "no")
            if says_not_run and self.evidence.runs_of[sent.request]:
                yield "%s: status %s, but it ran" % (sent.request, sent.status), sent.request

    def single_runs(self):
        for sent in self.evidence.sent:
            if sent.order.route == "write" and len(self.evidence.runs_of[sent.request]) > 1:
                yield "%s ran %d times" % (sent.request, len(self.evidence.runs_of[sent.request])), sent.request

    def answered_requests(self):
        for sent in self.evidence.sent:
            if sent.sent_at is None or sent.status is not None or self.evidence.runs_of[sent.request]:
                continue
            if sent.ended_at is None:
                yield "%s never ended" % sent.request, sent.request
            elif sent.ended_at - sent.sent_at > CLOSE_S:
                yield "%s closed after %.3f s" % (sent.request, sent.ended_at - sent.sent_at), sent.request

    def logged_stop(self):
        stopping = self.evidence.log.events("stopping")
        if len(stopping) != 1 or "heard_after_ms" not in stopping[0]:
            yield "%d lines of event=stopping" % len(stopping), ""
        complete = self.evidence.log.events("stop_complete")
        if len(complete) != 1:
            yield "%d lines of event=stop_complete" % len(complete), ""

    def logged_cuts(self):
        log = self.evidence.log
        cut = collections.Counter(fields["request"].strip('"') for fields in log.events("cut"))
        for fields in log.events("stop_complete"):
            if int(fields["cut"]) != sum(cut.values()):
                yield "cut=%s, but %d lines" % (fields["cut"], sum(cut.values())), ""
        for request, count in cut.items():
            if count > 1:
                yield "%s is cut %d times" % (request, count), request
        ended = cut.keys() | {fields["request"].strip('"') for fields in log.events("failed") + log.events("timed_out")}
        for is_late in False, True:
            for sent in self.passed_on_without_answer(is_late):
                if sent.request not in ended:
                    yield "%s has no line of its end" % sent.request, sent.request
        for sent in self.evidence.sent:
            if sent.request in cut and sent.is_completed():
                yield "%s is cut, but its answer is whole" % sent.request, sent.request

    def agreeing_counts(self):
        """A count lies between that of events surely within the stop and that of events perhaps within it."""
        log = self.evidence.log
        if len(log.events("stopping")) != 1 or len(log.events("stop_complete")) != 1:
            return
        stop = log.events("stop_complete")[0]
        heard = float(log.events("stopping")[0].get("heard_after_ms", 0)) / 1000
        complete = float(stop["time_ms"]) / 1000
        outcomes = {"completed": lambda sent: sent.is_completed(),
                    "refused": lambda sent: sent.is_whole and not sent.is_signed and sent.run == "no"}
        for name, is_such in outcomes.items():
            moments = [self.evidence.after_signal(sent.ended_at) for sent in self.evidence.sent
                       if sent.ended_at is not None and is_such(sent)]
            surely = sum(heard + CLOCK_MARGIN_S < moment < complete - CLOCK_MARGIN_S for moment in moments)
            perhaps = sum(-CLOCK_MARGIN_S < moment < heard + complete + CLOCK_MARGIN_S for moment in moments)
            if not surely <= int(stop[name]) <= perhaps:
                yield "%s=%s, callers saw %d to %d" % (name, stop[name], surely, perhaps), ""
