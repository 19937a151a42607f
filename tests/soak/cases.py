"""Seeds that ever failed, with the cause; all are run again by --cases."""

CASES: tuple[tuple[int, str], ...] = (
    (100, "SIGHUP and SIGTERM ended daemons that had not yet set up handlers"),
    (2000, "starts were refused while the only target's agent was stopped"),
    (2100, "SIGHUP ended daemons that had taken their handlers down"),
)
