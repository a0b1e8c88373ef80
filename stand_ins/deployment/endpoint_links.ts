/** Links of each gateway host to each engine, which can be cut apart. */
import { Direction, TcpLink } from "../tcp_link.ts";
import type { Engine } from "./engine.ts";

/** What becomes of a host's connections to engines. */
export enum LinkCut {
  /** All hang; new ones are accepted and hang as well. */
  Hang = "hang",
  /** Open ones are reset and new ones refused. */
  Reset = "reset",
  /** Open ones live on and new ones are refused. */
  RefuseNew = "refuse_new",
}

/** The links of a fleet's hosts; pass `connect` as its `engineLinks`. */
export class EndpointLinks {
  #links = new Map<number, TcpLink[]>();

  /** Creates a host's links; resolves to the address to use for an engine's. */
  readonly connect = async (
    gateway: number,
    engines: Engine[],
  ): Promise<(address: string) => string> => {
    const addresses = new Map<string, string>();
    const links: TcpLink[] = [];
    for (const engine of engines) {
      const link = new TcpLink(engine.address);
      addresses.set(engine.address, await link.start());
      links.push(link);
    }
    this.#links.set(gateway, links);
    return (address) => addresses.get(address) ?? address;
  };

  /** Cuts a host off from all engines. */
  cut(gateway: number, cut: LinkCut): void {
    for (const link of this.#linksOf(gateway)) {
      if (cut === LinkCut.Hang) link.cut(Direction.Both);
      else link.refuseNew();
      if (cut === LinkCut.Reset) link.resetOpen();
    }
  }

  /** Ends a cut; connections that hang stay so. */
  heal(gateway: number): void {
    for (const link of this.#linksOf(gateway)) link.heal();
  }

  /** Connections that were opened through a host's links so far. */
  connections(gateway: number): number {
    return this.#linksOf(gateway)
      .reduce((sum, { accepted }) => sum + accepted, 0);
  }

  /** Closes all links. */
  stop(): void {
    for (const link of [...this.#links.values()].flat()) link.stop();
  }

  #linksOf(gateway: number): TcpLink[] {
    return this.#links.get(gateway) ?? [];
  }
}
