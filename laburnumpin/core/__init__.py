"""Decision logic: a reducer that maps events to effects, without I/O."""
