"""Days with one mechanism switched off."""
