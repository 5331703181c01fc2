"""Test that the README's example runs as printed."""

import re
from pathlib import Path

from load_balancer.decisions.actions import Send


def test_the_readme_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, flags=re.S)
    namespace: dict[str, object] = {}
    exec(code, namespace)
    send = namespace["send"]
    assert isinstance(send, Send)
    assert send.endpoint_id in (1, 2)
    assert not namespace["balancer"].lifecycle.requests  # type: ignore[attr-defined]
