"""Exceptions; each names the operation that failed and the peer."""


class JujuberunError(Exception):
    """Base class of all errors of this package.

    Attributes:
        step: the operation that failed, as a short phrase ("decode message").
        peer: the other side (address, file or id), empty when there is none.
    """

    def __init__(self, step: str, peer: str, message: str) -> None:
        super().__init__(f"{step}: {peer}: {message}" if peer else message)
        self.step = step
        self.peer = peer


class SettingsError(JujuberunError):
    """A settings file cannot be read or has a wrong key or value."""


class ManifestError(JujuberunError):
    """A manifest is malformed; the message names key, value and remedy."""


class WireError(JujuberunError):
    """A message from a peer is malformed, forged or replayed."""


class SourceError(JujuberunError):
    """The platform did not answer according to its protocol."""


class LinkError(JujuberunError):
    """A TCP exchange with a peer failed.

    Attributes:
        sent: whether the peer may have received the message. False only if
            no byte of it left this process; it then had no effect at the
            peer.
    """

    def __init__(
        self, step: str, peer: str, message: str, sent: bool = True
    ) -> None:
        super().__init__(step, peer, message)
        self.sent = sent


class RequestError(JujuberunError):
    """A request to a target or an agent failed."""
