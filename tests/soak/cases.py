"""Seeds that have failed, with the cause; --cases runs all of them again."""

CASES: tuple[tuple[int, str], ...] = (
    (100, "SIGHUP and SIGTERM ended daemons that had no signal handlers yet"),
    (2000, "starts were refused while the only target's agent was stopped"),
    (3015, "agents took 2.8 s to start on a busy machine, in planned stops"),
    (3106, "same cause as 3015"),
    (3113, "as 3015; stopping agents also waited 4.5 s for flows in use"),
    (2100, "SIGHUP ended daemons that had removed their signal handlers"),
)
