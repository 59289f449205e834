/** Measures what peers' connections cost in bytes, memory and processor time. */
import { binaryEncoder } from '@sesamegrade/router/peers/peer-message';
import { PeerFleet } from './peer-fleet';

/** Headers of IPv4 and TCP with time stamps; a message is one segment and one acknowledgement. */
const SEGMENT_HEADERS = 52;
const SEGMENTS_PER_MESSAGE = 2;
const BYTES_PER_KIB = 1024;

export interface PeerCostOptions {
  readonly seed: number;
  readonly sizes: readonly number[];
  readonly seconds: number;
}

/** Figures of one fleet size, per router. */
export interface PeerCost {
  readonly routers: number;
  readonly messagesPerSecond: number;
  /** Read and written on sockets, without TCP and IP headers. */
  readonly socketBytesPerSecond: number;
  /** The same with headers and acknowledgements, reckoned at 52 bytes each. */
  readonly wireBytesPerSecond: number;
  /** Sent by the scheduler's own estimate. */
  readonly estimatedSentPerSecond: number;
  /** Memory of the process per connection, both ends, in KiB. */
  readonly kibPerConnection: number;
  /** Processor time per router, in percent of a core. */
  readonly corePercent: number;
}

function memory(): number {
  return process.memoryUsage().rss;
}

async function measure(
  routers: number,
  options: PeerCostOptions,
): Promise<PeerCost> {
  const before = memory();
  const fleet = new PeerFleet(options.seed);
  await fleet.start(routers);
  await fleet.wait(1000);
  const used = memory() - before;
  const first = fleet.totals();
  const cpu = process.cpuUsage();
  const start = performance.now();
  await fleet.wait(options.seconds * 1000);
  const spent = process.cpuUsage(cpu);
  const length = (performance.now() - start) / 1000;
  const last = fleet.totals();
  await fleet.stop();
  const perRouter = (total: number) => total / length / routers;
  const messages = perRouter(last.messages - first.messages);
  const onSockets = perRouter(last.onSockets - first.onSockets);
  // A router sends and receives its messages' segments and acknowledgements.
  const headers = 2 * messages * SEGMENTS_PER_MESSAGE * SEGMENT_HEADERS;
  const cpuSeconds = (spent.user + spent.system) / 1_000_000;
  return {
    routers,
    messagesPerSecond: messages,
    socketBytesPerSecond: onSockets,
    wireBytesPerSecond: onSockets + headers,
    estimatedSentPerSecond: perRouter(last.estimated - first.estimated),
    kibPerConnection: used / BYTES_PER_KIB / (routers * (routers - 1)),
    corePercent: perRouter(cpuSeconds) * 100,
  };
}

/** Measures fleet sizes one after the other; takes real time. */
export async function measurePeers(
  options: PeerCostOptions,
): Promise<PeerCost[]> {
  const costs: PeerCost[] = [];
  for (const size of options.sizes) {
    costs.push(await measure(size, options));
  }
  return costs;
}

/** Bytes of one message in each way to carry it, without TCP and IP headers. */
export interface CarrierSizes {
  readonly binaryFeed: number;
  readonly textFeed: number;
  readonly textMutation: number;
  readonly httpMutation: number;
}

const UNMASKED_HEADER = 4;
const MASKED_HEADER = 8;

/** Returns sizes for entries such as load counts of some length. */
export function carrierSizes(entryLength: number): CarrierSizes {
  const frame = {
    h: [1_800_000_000_000, 0],
    t: { loads: ['x'.repeat(entryLength)] },
  };
  const fed = { id: 1, result: { type: 'data', data: frame } };
  const told = {
    id: 1,
    method: 'mutation',
    params: { path: 'tell', input: frame },
  };
  const done = { id: 1, result: { type: 'data' } };
  const body = JSON.stringify(frame);
  const http = [
    'POST /tell HTTP/1.1',
    'host: 10.0.0.1:7001',
    'connection: keep-alive',
    'content-type: application/json',
    `content-length: ${body.length}`,
    '',
    body,
    'HTTP/1.1 200 OK',
    'content-type: application/json',
    'date: Thu, 01 Jan 2026 00:00:00 GMT',
    'connection: keep-alive',
    'transfer-encoding: chunked',
    '',
    JSON.stringify({ result: {} }),
  ].join('\r\n');
  const mutation = JSON.stringify(told).length + JSON.stringify(done).length;
  return {
    binaryFeed: binaryEncoder.encode(fed).length + UNMASKED_HEADER,
    textFeed: JSON.stringify(fed).length + UNMASKED_HEADER,
    textMutation: mutation + MASKED_HEADER + UNMASKED_HEADER,
    httpMutation: http.length,
  };
}

/** Lays the figures out as tables. */
export function formatPeerCosts(
  costs: readonly PeerCost[],
  sizes: CarrierSizes,
): string {
  const rows = costs.map(cost =>
    [
      String(cost.routers).padStart(7),
      cost.messagesPerSecond.toFixed(1).padStart(10),
      cost.socketBytesPerSecond.toFixed(0).padStart(11),
      cost.wireBytesPerSecond.toFixed(0).padStart(9),
      cost.estimatedSentPerSecond.toFixed(0).padStart(14),
      cost.kibPerConnection.toFixed(0).padStart(14),
      cost.corePercent.toFixed(2).padStart(6),
    ].join(' '),
  );
  return [
    'routers messages/s socket B/s wire B/s estimated B/s KiB/connection core %',
    ...rows,
    '',
    'one message of 80 bytes of entries, without TCP and IP headers:',
    `  binary feed ${sizes.binaryFeed}, text feed ${sizes.textFeed}, text mutation with its answer ${sizes.textMutation}, HTTP with its answer ${sizes.httpMutation} bytes`,
  ].join('\n');
}
