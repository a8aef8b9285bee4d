"""Documents of resources as operators see them."""

from __future__ import annotations

from typing import Any

from ._entry_state import EntryState


def resource_document(state: EntryState, kind: str, name: str) -> dict[str, Any] | None:
    """Return metadata, spec and status of a resource, or None."""
    resource = state.control.resources.get((kind, name))
    if resource is None:
        return None
    metadata = {
        "name": name,
        "generation": resource.generation,
        "resource_version": resource.version,
    }
    return {"metadata": metadata, "spec": dict(resource.spec), "status": {}}


def list_documents(state: EntryState, kind: str) -> list[dict[str, Any]]:
    """Return the documents of all resources of a kind, by name."""
    names = sorted(name for key, name in state.control.resources if key == kind)
    found = (resource_document(state, kind, name) for name in names)
    return [document for document in found if document is not None]
