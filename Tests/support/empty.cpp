// Keeps the support library valid while it has no other source.
