"""Overrides settings of control in the tests with real processes."""


def add_control_settings(cluster, lines):
    """Adds lines to the control section of all settings files. Call it before the processes start."""
    for name in cluster.controls + cluster.entries:
        path = f"{cluster.folder}/{name}.yaml"
        with open(path, encoding="utf-8") as settings:
            text = settings.read()
        with open(path, "w", encoding="utf-8") as settings:
            settings.write(text.replace("control:\n", "control:\n" + "".join(f"  {line}\n" for line in lines)))
