"""Backend server with slots, cold start, shedding and a record of executions."""
