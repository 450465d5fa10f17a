"""Base class of the commands of a program."""

import abc
import argparse

from .const import EXIT_CODES_HELP


class Command(abc.ABC):
    """A command of a program, with its arguments."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Return the word that selects the command."""

    @property
    @abc.abstractmethod
    def summary(self) -> str:
        """Return one line for the list of commands."""

    @property
    @abc.abstractmethod
    def examples(self) -> str:
        """Return examples for the help text, one per line."""

    @property
    def uses_operator_security(self) -> bool:
        """Return whether the operator's certificates are needed to run the command.

        A command that runs a program has those in its settings.
        """
        return True

    @abc.abstractmethod
    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""

    @abc.abstractmethod
    def run(self, arguments: argparse.Namespace) -> int:
        """Run the command and return its exit code."""

    def register(self, commands: "argparse._SubParsersAction") -> None:
        """Add the command to the subparsers of a program."""
        parser = commands.add_parser(
            self.name,
            help=self.summary,
            description=f"{self.summary[0].upper()}{self.summary[1:]}.",
            epilog=f"examples:\n{self._indented_examples()}\n\n{EXIT_CODES_HELP}",
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        self.add_arguments(parser)
        parser.set_defaults(
            run=self.run, uses_operator_security=self.uses_operator_security
        )

    def _indented_examples(self) -> str:
        """Return the examples indented for the help text."""
        return "\n".join(f"  {line}" for line in self.examples.splitlines())
