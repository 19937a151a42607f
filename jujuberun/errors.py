"""Exceptions that carry the step and the peer at which they arose."""


class JujuberunError(Exception):
    """Base class of all errors of this package.

    Attributes:
        step: what was being done, as a short phrase ("decode message").
        peer: the other side (address, file or id), empty when there is none.
    """

    def __init__(self, step: str, peer: str, message: str) -> None:
        super().__init__(f"{step}: {peer}: {message}" if peer else message)
        self.step = step
        self.peer = peer


class SettingsError(JujuberunError):
    """A settings file has a wrong key or value."""


class ManifestError(JujuberunError):
    """A manifest is malformed; the message names key, value and remedy."""


class WireError(JujuberunError):
    """A message from a peer is malformed, forged or replayed."""


class SourceError(JujuberunError):
    """The platform did not answer as its protocol says."""


class LinkError(JujuberunError):
    """A TCP exchange with a peer failed.

    Attributes:
        sent: whether the peer may have received the message. False only when
            no byte of it left this process, so that it certainly had no
            effect at the peer.
    """

    def __init__(
        self, step: str, peer: str, message: str, sent: bool = True
    ) -> None:
        super().__init__(step, peer, message)
        self.sent = sent


class RequestError(JujuberunError):
    """A request to a target or an agent failed."""
