"""The replicated state machine of the log: dispatches each command to its part."""

import msgspec

from cranberryfield.control.claims import ClaimTable, apply_claim_command
from cranberryfield.control.claims.machine import ClaimCommand
from cranberryfield.control.deployment.machine import (
    DeploymentState,
    apply_declaration,
)
from cranberryfield.control.orders import OrdersState, apply_order_command
from cranberryfield.control.rollouts.machine import (
    RolloutsState,
    apply_rollout_command,
)
from cranberryfield.control.settings import (
    SettingsState,
    adopt_tree,
    apply_change,
)
from cranberryfield.control.usage.machine import UsageState, apply_usage_command
from cranberryfield.core.errors import ErrorKind
from cranberryfield.core.ids import NodeId
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.commands import (
    AdoptSettings,
    ChangeSettings,
    Noop,
    RaiseFeatureLevel,
    RecordHosts,
    Refused,
)
from cranberryfield.core.messages.deployment import DeclareDeployment
from cranberryfield.core.messages.orders import ConfirmOrder, PlaceOrder
from cranberryfield.core.messages.reports import SettleUsage, UsageReported
from cranberryfield.core.messages.rollouts import AdvanceRollout, BeginRollout
from cranberryfield.core.settings import effective_settings

__all__ = ["ControlState", "apply_command"]


class ControlState(msgspec.Struct, array_like=True):
    """State that results from all committed commands; the content of a snapshot.

    Attributes
    ----------
    settings : SettingsState
        The settings tree and its history.
    claims : ClaimTable
        Claims of non-idempotent requests.
    hosts : dict
        Entry hosts that count for the acknowledgement of a settings change,
        as keys.
    orders : OrdersState
        Orders to engines and their confirmations.
    deployment : DeploymentState
        The declared deployment, if any.
    usage : UsageState
        Usage counts per window.
    feature_level : int
        Highest `FeatureLevel` that all control hosts understand; never lowered.
    rollouts : RolloutsState
        Latest rollout of each service.
    """

    settings: SettingsState = msgspec.field(default_factory=SettingsState)
    claims: ClaimTable = msgspec.field(default_factory=ClaimTable)
    hosts: dict[NodeId, bool] = msgspec.field(default_factory=dict)
    orders: OrdersState = msgspec.field(default_factory=OrdersState)
    deployment: DeploymentState = msgspec.field(default_factory=DeploymentState)
    usage: UsageState = msgspec.field(default_factory=UsageState)
    feature_level: int = 0
    rollouts: RolloutsState = msgspec.field(default_factory=RolloutsState)


def apply_command(state: ControlState, command: Message) -> Message:
    """Apply one committed command.

    Parameters
    ----------
    state : ControlState
        Changed in place. The same commands give the same state on every replica.
    command : Message
        The command.

    Returns
    -------
    Message
        Its result.
    """
    match command:
        case ChangeSettings():
            return apply_change(state.settings, command)
        case AdoptSettings():
            return adopt_tree(state.settings, command)
        case RecordHosts(added, removed):
            state.hosts.update(dict.fromkeys(added, True))
            for node in removed:
                state.hosts.pop(node, None)
            return command
        case DeclareDeployment():
            return apply_declaration(state.deployment, command)
        case SettleUsage() | UsageReported():
            return apply_usage_command(state.usage, command)
        case PlaceOrder() | ConfirmOrder():
            return apply_order_command(state.orders, command)
        case RaiseFeatureLevel(level):
            state.feature_level = max(state.feature_level, level)
            return command
        case BeginRollout() | AdvanceRollout():
            return apply_rollout_command(state.rollouts, command)
        case Noop():
            return command
    if isinstance(command, ClaimCommand):
        bounds = effective_settings(state.settings.tree, None, None)
        return apply_claim_command(state.claims, command, bounds)
    return Refused(ErrorKind.PROTOCOL.value, "unknown command in the log")
