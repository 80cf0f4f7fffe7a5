"""A fleet whose every connection but callers' goes through a forwarder that can harm it."""

from standins.launch import launch
from standins.platform_fleet import PlatformFleet, call_json
from standins.ports import free_address

__all__ = ["SoakFleet"]


class SoakFleet(PlatformFleet):
    """Processes, workers and store with a forwarder before each.

    Parameters
    ----------
    processes : dict
        Failure domain by name of each process.
    workers : int
        Number of workers.

    Attributes
    ----------
    store_links, peer_links : dict
        Address of the forwarder before the store, and before a process, by the process's name.
    worker_links : list of str
        Addresses of the forwarders before workers.
    version : int
        Of the newest configuration.
    """

    def __init__(self, processes, *, workers):
        super().__init__(processes, workers=workers)
        self.peers = {name: free_address() for name in processes}
        self.peer_links = {name: free_address() for name in processes}
        self.store_links = {name: free_address() for name in processes}
        self.worker_links = [free_address() for _ in self.worker_addresses]
        self.version = 1  # of the configuration
        self._link_control = free_address()

    def start(self):
        """Start the forwarders, then everything behind them."""
        pairs = [
            *((self.peer_links[name], self.peers[name]) for name in self.processes),
            *((self.store_links[name], self.store) for name in self.processes),
            *zip(self.worker_links, self.worker_addresses, strict=True),
        ]
        arguments = [a for listen, to in pairs for a in ("--listen", listen, "--to", to)]
        self.children["links"] = launch(
            "standins.link",
            *(*arguments, "--control", self._link_control),
            health=f"http://{self._link_control}/health",
        )
        return super().start()

    def platform_arguments(self):
        """Return the arguments of the stand-in; entries of workers name the forwarders."""
        return (*super().platform_arguments(), "--advertised", *self.worker_links)

    def settings(self, name):
        """Return the settings of a process, with forwarders in place of its peers and store."""
        settings = super().settings(name)
        settings["listen"]["peers"] = self.peers[name]
        settings["listen"]["advertised_peers"] = self.peer_links[name]
        settings["platform"]["addresses"] = [self.store_links[name]]
        return settings

    def set_link(self, address, mode, **options):
        """Change the mode of a forwarder."""
        body = {"mode": mode, "listen": address, **options}
        call_json(self._link_control, "POST", "/mode", body, host="links")

    def restart(self, name):
        """Start a process again if it has ended."""
        if self.children[name].returncode is not None:
            self.start_process(name)
