"""Generated protobuf classes; see proto/catkincross.proto."""
