//! Server selection, admission, retries and budgets of one entry.
