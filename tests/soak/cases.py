"""Seeds that ever failed, with the cause; all are run again by --cases."""

CASES: tuple[tuple[int, str], ...] = (
    (100, "SIGHUP and SIGTERM ended daemons that had not yet set up handlers"),
    (2000, "starts were refused while the only target's agent was stopped"),
    (3015, "agents took 2.8 s to start on a busy machine; planned stops"),
    (3106, "as 3015"),
    (3113, "as 3015, and agents that stopped waited 4.5 s for used flows"),
    (2100, "SIGHUP ended daemons that had taken their handlers down"),
)
