"""Messages by which instances keep bulk values on each other's disks."""

from result import Err

from lagoonfold import ErrorKind, Refusal, ShardId
from lagoonfold.records import BulkValue
from lagoonfold_node._peers import CallRefused, InboundCall, PeerMessage, handles, peer_message


@peer_message
class StoreBulk(PeerMessage, tag="store-bulk"):
    """Asks the receiver to keep a value on its disk."""

    shard_id: int
    name: str
    data: bytes


@peer_message
class BulkStored(PeerMessage, tag="bulk-stored"):
    """The value is on the disk."""


@peer_message
class FetchBulk(PeerMessage, tag="fetch-bulk"):
    """Asks for a value."""

    shard_id: int
    name: str


@peer_message
class BulkData(PeerMessage, tag="bulk-data"):
    """A value."""

    data: bytes


@peer_message
class SurveyBulk(PeerMessage, tag="survey-bulk"):
    """Asks which of a shard's values the receiver keeps whole.

    `names` are all that the shard refers to. The receiver removes its other values of the shard
    that were made before the journal's `before_sequence`: nothing can refer to them any more.
    """

    shard_id: int
    names: tuple[str, ...]
    before_sequence: int


@peer_message
class BulkSurvey(PeerMessage, tag="bulk-survey"):
    """The named values that the sender keeps."""

    names: tuple[str, ...]


@handles(StoreBulk)
async def _store(node, call: InboundCall, message: StoreBulk) -> None:
    files = node.ownership.files
    if files is None:
        call.reply(_refused(ErrorKind.NOT_FOUND, "no disk here"))
        return
    value = BulkValue(name=message.name, data=message.data)
    written = await files.write(ShardId(message.shard_id), value)
    if isinstance(written, Err):
        call.reply(_refused(ErrorKind.INTERNAL, written.err_value))
    else:
        call.reply(BulkStored())


@handles(FetchBulk)
async def _fetch(node, call: InboundCall, message: FetchBulk) -> None:
    files = node.ownership.files
    if files is None:
        call.reply(_refused(ErrorKind.NOT_FOUND, "no disk here"))
        return
    read = await files.read(ShardId(message.shard_id), message.name)
    if isinstance(read, Err):
        call.reply(_refused(ErrorKind.NOT_FOUND, read.err_value))
    else:
        call.reply(BulkData(data=read.ok_value))


@handles(SurveyBulk)
async def _survey(node, call: InboundCall, message: SurveyBulk) -> None:
    files = node.ownership.files
    shard_id = ShardId(message.shard_id)
    if files is None:
        call.reply(BulkSurvey(names=()))
        return
    unused = files.names(shard_id).difference(message.names)
    await files.remove(shard_id, _made_before(unused, message.before_sequence))
    intact = await files.intact(shard_id, message.names)
    call.reply(BulkSurvey(names=tuple(sorted(intact))))


def _made_before(names: frozenset[str], before_sequence: int) -> list[str]:
    return [name for name in names if int(name.partition("-")[0]) < before_sequence]


def _refused(kind: ErrorKind, detail: str) -> CallRefused:
    return CallRefused.of(Refusal(kind=kind, detail=detail))
