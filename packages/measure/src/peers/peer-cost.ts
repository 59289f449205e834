/** Measures the cost of connections between peers in bytes, memory and processor time. */
import { binaryEncoder } from '@sesamegrade/router/peers/peer-message';
import { PeerFleet } from './peer-fleet';

/** IPv4 and TCP headers with timestamps; a message takes one segment and one acknowledgement. */
const SEGMENT_HEADER_BYTES = 52;
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
  /** Bytes read from and written to sockets, without TCP and IP headers. */
  readonly socketBytesPerSecond: number;
  /** The same with the headers of segments and acknowledgements, estimated at 52 bytes each. */
  readonly wireBytesPerSecond: number;
  /** Bytes sent according to the scheduler's estimate. */
  readonly estimatedSentPerSecond: number;
  /** Resident memory of the process per connection, for both ends, in KiB. */
  readonly kibPerConnection: number;
  /** Processor time per router, in percent of a core. */
  readonly corePercent: number;
}

function residentMemory(): number {
  return process.memoryUsage().rss;
}

async function measure(
  routers: number,
  options: PeerCostOptions,
): Promise<PeerCost> {
  const before = residentMemory();
  const fleet = new PeerFleet(options.seed);
  await fleet.start(routers);
  await fleet.wait(1000);
  const usedBytes = residentMemory() - before;
  const first = fleet.totals();
  const cpu = process.cpuUsage();
  const start = performance.now();
  await fleet.wait(options.seconds * 1000);
  const cpuUsage = process.cpuUsage(cpu);
  const elapsedSeconds = (performance.now() - start) / 1000;
  const last = fleet.totals();
  await fleet.stop();
  const perRouter = (total: number) => total / elapsedSeconds / routers;
  const messages = perRouter(last.messages - first.messages);
  const onSockets = perRouter(last.onSockets - first.onSockets);
  // A router sends and receives its messages' segments and acknowledgements.
  const headers = 2 * messages * SEGMENTS_PER_MESSAGE * SEGMENT_HEADER_BYTES;
  const cpuSeconds = (cpuUsage.user + cpuUsage.system) / 1_000_000;
  return {
    routers,
    messagesPerSecond: messages,
    socketBytesPerSecond: onSockets,
    wireBytesPerSecond: onSockets + headers,
    estimatedSentPerSecond: perRouter(last.estimated - first.estimated),
    kibPerConnection: usedBytes / BYTES_PER_KIB / (routers * (routers - 1)),
    corePercent: perRouter(cpuSeconds) * 100,
  };
}

/** Measures the fleet sizes one after the other, in real time. */
export async function measurePeers(
  options: PeerCostOptions,
): Promise<PeerCost[]> {
  const costs: PeerCost[] = [];
  for (const size of options.sizes) {
    costs.push(await measure(size, options));
  }
  return costs;
}

/** Bytes of one message by transport and encoding, without TCP and IP headers. */
export interface CarrierSizes {
  readonly binaryFeed: number;
  readonly textFeed: number;
  readonly textMutation: number;
  readonly httpMutation: number;
}

const UNMASKED_FRAME_HEADER_BYTES = 4;
const MASKED_FRAME_HEADER_BYTES = 8;

/** Returns the sizes of a message whose entries have a length in bytes. */
export function carrierSizes(entryLength: number): CarrierSizes {
  const frame = {
    h: [1_800_000_000_000, 0],
    t: { loads: ['x'.repeat(entryLength)] },
  };
  const feedMessage = { id: 1, result: { type: 'data', data: frame } };
  const mutationCall = {
    id: 1,
    method: 'mutation',
    params: { path: 'tell', input: frame },
  };
  const mutationResult = { id: 1, result: { type: 'data' } };
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
  const mutationBytes =
    JSON.stringify(mutationCall).length + JSON.stringify(mutationResult).length;
  return {
    binaryFeed:
      binaryEncoder.encode(feedMessage).length + UNMASKED_FRAME_HEADER_BYTES,
    textFeed: JSON.stringify(feedMessage).length + UNMASKED_FRAME_HEADER_BYTES,
    textMutation:
      mutationBytes + MASKED_FRAME_HEADER_BYTES + UNMASKED_FRAME_HEADER_BYTES,
    httpMutation: http.length,
  };
}

/** Formats the figures as text tables. */
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
    `  binary feed ${sizes.binaryFeed}, text feed ${sizes.textFeed}, text mutation with its response ${sizes.textMutation}, HTTP with its response ${sizes.httpMutation} bytes`,
  ].join('\n');
}
