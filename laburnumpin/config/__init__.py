"""Configuration: typed options, schema, loading and process settings."""
