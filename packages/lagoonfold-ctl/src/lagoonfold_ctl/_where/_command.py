"""Runs `lagoonfold where`: asks the instances, combines what they say, and prints it."""

import sys
from collections.abc import Sequence

import trio

from lagoonfold import new_id
from lagoonfold.explanations import Explanation, Outcome, combine
from lagoonfold_ctl._render import render_table
from lagoonfold_ctl._session import EXIT_REFUSED, CommandError, Session
from lagoonfold_ctl._where._inputs import WhereOptions, read_options
from lagoonfold_ctl._where._query import InstanceAnswer, ask_all
from lagoonfold_ctl._where._report import describe, instance_rows

EXIT_NO_ANSWER = 3


class WhereCommands:
    """Explains where a request would go now, by what running instances say."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def show(self, options: WhereOptions) -> None:
        """Show the route, client account, pools, replicas and what the request comes to.

        Exit with 1 if it would be rejected, and with 3 if no instance explains it.
        """
        wanted = read_options(options)
        body = wanted.body(new_id("where"))
        answers = trio.run(ask_all, wanted.at, body)
        explanation = _combine(answers)
        document = {
            "request": body,
            "instances": [_document(each) for each in answers],
            "explanation": explanation,
        }
        if explanation is None:
            self._session.show(document, render_table(instance_rows(answers)))
            has_answered = any(each.has_answered for each in answers)
            detail = "no instance explains" if has_answered else "no instance responds"
            raise CommandError(detail, EXIT_NO_ANSWER, "unavailable")
        self._session.show(document, describe(answers, explanation))
        verdict = explanation.verdict
        if verdict is not None and verdict.outcome is Outcome.REJECTED:
            sys.exit(EXIT_REFUSED)


def _document(answer: InstanceAnswer) -> dict[str, object]:
    """Return what an address answered, without the explanation itself."""
    told = answer.explanation
    return {
        "address": answer.address,
        "answer": answer.answer,
        "instance": told.instance if told is not None else None,
        "config_version": told.config_version if told is not None else None,
        "config_age_s": told.config_age_s if told is not None else None,
    }


def _combine(answers: Sequence[InstanceAnswer]) -> Explanation | None:
    """Return the first explanation that has a configuration, with the owners' words in it."""
    told = [each.explanation for each in answers if each.explanation is not None]
    told.sort(key=lambda each: each.config_version is None)
    return combine(told) if told else None
