"""Handlers of the configuration messages."""

from typing import Protocol

import trio

from lagoonfold_node._config_controller._controller import ConfigController
from lagoonfold_node._config_controller._messages import (
    ConfigChanged,
    ConfigVerified,
    VerifyConfig,
)
from lagoonfold_node._peers import InboundCall, handles


class HasConfiguration(Protocol):
    """The part of the node that these handlers use."""

    configuration: ConfigController


@handles(VerifyConfig)
async def _answer_verify(node: HasConfiguration, call: InboundCall, message: VerifyConfig) -> None:
    answer = node.configuration.tracker.answer_for(message.known_version, trio.current_time())
    call.reply(ConfigVerified(answer=answer))


@handles(ConfigChanged)
async def _apply_changes(node: HasConfiguration, call: InboundCall, message: ConfigChanged) -> None:
    node.configuration.apply_pushed_records(message.records)
