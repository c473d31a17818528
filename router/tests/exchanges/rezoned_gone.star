# Nothing of zones any more.
