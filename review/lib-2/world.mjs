/**
 * Small stand-ins for the cases of the second review: the platform's store, the operator, the
 * start of routers as deploy/system.toml says, servers as processes of their own, and a record.
 */
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { once } from 'node:events';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { clearTimeout } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

export { pause };

const LIBRARY = dirname(fileURLToPath(import.meta.url));
const REPOSITORY = join(LIBRARY, '..', '..');
const SERVER_PROGRAM = join(LIBRARY, 'server.mjs');

/** Whether the disturbance of the case is left out. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Memory of a machine of the small sites. */
export const MEMORY_MB = 272;

export const EXIT = { held: 0, broken: 1, notRun: 2 };

/** Writes what was sent, answered and run, with the milliseconds since the start. */
export class Record {
  #file;
  #begin = performance.now();

  constructor(folder) {
    this.#file = join(folder, 'record.txt');
    writeFileSync(this.#file, '');
  }

  get now() {
    return performance.now() - this.#begin;
  }

  write(...parts) {
    const text = parts
      .map(part => (typeof part === 'string' ? part : JSON.stringify(part)))
      .join(' ');
    appendFileSync(
      this.#file,
      `${this.now.toFixed(1).padStart(9)} ms  ${text}\n`,
    );
  }
}

/** The platform's store: rows, a feed of changes, conditional transactions. */
export class Store {
  #rows = new Map();
  #history = [];
  #waiting = new Set();
  #version = 1;
  #server = http.createServer((request, response) => {
    const parts = [];
    request.on('data', part => parts.push(part));
    request.on('end', () => this.#serve(request, response, parts));
  });
  /** Set while the store answers no call. */
  isSilent = false;

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  async start() {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a document as the operator or a server does. */
  put(table, key, document) {
    const value = Buffer.from(JSON.stringify(document)).toString('base64');
    this.#apply({ table, key, value });
  }

  drop(table, key) {
    this.#apply({ table, key, value: '', tombstone: true });
  }

  #apply(change) {
    this.#version += 1;
    const row = { ...change, part: '', ver: this.#version };
    const name = `${row.table}/${row.key}`;
    if (row.tombstone) {
      this.#rows.delete(name);
    } else {
      this.#rows.set(name, row);
    }
    this.#history.push(row);
    for (const answer of [...this.#waiting]) {
      answer();
    }
  }

  #serve(request, response, parts) {
    if (this.isSilent) {
      return;
    }
    const url = new URL(request.url, 'http://store');
    const query = name => url.searchParams.get(name) ?? '';
    const respond = (status, document) => {
      response.writeHead(status, { 'Content-Type': 'application/json' });
      response.end(
        JSON.stringify({
          ver: this.#version,
          nowMs: Math.round(performance.now()),
          ...document,
        }),
      );
    };
    if (url.pathname === '/rows-tx') {
      const { expectRev, writes, remove } = JSON.parse(Buffer.concat(parts));
      const holds = expectRev.every(
        ({ table, key, ver }) =>
          (this.#rows.get(`${table}/${key}`)?.ver ?? 0) === ver,
      );
      if (holds) {
        writes.forEach(({ table, key, value }) =>
          this.#apply({ table, key, value }),
        );
        remove.forEach(({ table, key }) => this.drop(table, key));
      }
      respond(holds ? 200 : 412, {});
    } else if (url.pathname === '/rows-get') {
      const [from, to] = [query('from'), query('to')];
      const rows = [...this.#rows.values()]
        .filter(({ table }) => table === query('table'))
        .filter(({ key }) => key >= from && (to === '' || key < to))
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      respond(200, { rows, hasMore: false });
    } else if (url.pathname === '/rows-parts') {
      respond(200, { parts: [''], hasMore: false });
    } else if (url.pathname === '/rows-feed') {
      this.#feed(query('table'), Number(query('sinceRev')), query, respond);
    } else {
      respond(404, {});
    }
  }

  #feed(table, since, query, respond) {
    const changes = () =>
      this.#history.filter(row => row.table === table && row.ver > since);
    const answer = (isLast = false) => {
      if (this.isSilent || (!isLast && changes().length === 0)) {
        return;
      }
      this.#waiting.delete(answer);
      clearTimeout(timer);
      respond(200, { rows: changes() });
    };
    this.#waiting.add(answer);
    const timer = setTimeout(() => answer(true), Number(query('waitMs')));
    answer();
  }
}

/** Ports that nobody uses. */
async function freePorts(count, host = '127.0.0.1') {
  const servers = await Promise.all(
    Array.from({ length: count }, async () => {
      const server = net.createServer().listen(0, host);
      await once(server, 'listening');
      return server;
    }),
  );
  const ports = servers.map(server => server.address().port);
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}

/** Fills in a template as DEPLOY.md says, as far as the deploy file uses that. */
function fill(template, fields) {
  const valueOf = path =>
    path.split('.').reduce((value, name) => value?.[name], fields);
  return template
    .replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/gu, (_all, path, text) =>
      valueOf(path) ? text : '',
    )
    .replace(/\{\{([\w.]+)\}\}/gu, (_all, path) => {
      const value = valueOf(path);
      return Array.isArray(value) ? value.join(',') : String(value ?? '');
    });
}

/** Reads what the cases need of the deploy file: the only role's command, template and environment. */
function deployment() {
  const text = readFileSync(join(REPOSITORY, 'deploy', 'system.toml'), 'utf8');
  const textOf = name =>
    new RegExp(`^${name} = "(.*)"$`, 'mu').exec(text)?.[1] ?? '';
  const environment = {};
  const list = /^env = \{(.*)\}$/mu.exec(text)?.[1] ?? '';
  for (const [, name, value] of list.matchAll(/(\w+) = "([^"]*)"/gu)) {
    environment[name] = value;
  }
  const template = readFileSync(join(REPOSITORY, textOf('template')), 'utf8');
  return { run: textOf('run'), template, environment };
}

/** Everything that a case starts; `end` ends all of it. */
export class World {
  #folder = mkdtempSync(join(tmpdir(), 'review-'));
  #children = new Set();
  store = new Store();

  constructor(record) {
    this.record = record;
  }

  async start() {
    await this.store.start();
  }

  async end() {
    for (const child of this.#children) {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        await once(child, 'exit');
      }
    }
    this.store.stop();
    rmSync(this.#folder, { recursive: true, force: true });
  }

  spawn(command, args, environment = {}, output = undefined) {
    const child = spawn(command, args, {
      cwd: REPOSITORY,
      env: { ...process.env, ...environment },
      stdio: ['pipe', 'pipe', output ? 'pipe' : 'inherit'],
    });
    this.#children.add(child);
    if (output) {
      child.stdout.on('data', bytes => appendFileSync(output, bytes));
      child.stderr.on('data', bytes => appendFileSync(output, bytes));
    }
    return child;
  }

  /**
   * Reserves the addresses of routers. Each has a loopback address of its own, as its ports are
   * the same on all machines.
   */
  async routers(count) {
    // Runs beside each other use different networks, as the port of the metrics is fixed.
    const network = `127.${randomInt(1, 255)}.${randomInt(0, 255)}`;
    const hosts = Array.from(
      { length: count },
      (_, at) => `${network}.${at + 1}`,
    );
    const [front, ready, control] = await freePorts(3, hosts[0]);
    const seeds = hosts.slice(0, 3).map(host => `${host}:${control}`);
    return hosts.map((host, at) => {
      const fields = {
        node: `front-${at + 1}`,
        zone: 'a',
        listen: {
          front: `${host}:${front}`,
          ready: `${host}:${ready}`,
          control: `${host}:${control}`,
        },
        seeds,
        bootstrap: true,
        limits: { cpuShare: 0.459, cores: 1, memoryMb: MEMORY_MB },
        bounds: {
          drainMs: 2000,
          graceS: 8,
          configApplyMs: 2000,
          retryRatio: 0.2,
          retryWindowS: 10,
          retrySlack: 126,
        },
        platform: { address: this.store.address },
      };
      return new Router(this, fields, { host, front, ready });
    });
  }

  /** The operator's manifest. */
  writeManifest({ version = 1, routes, services }) {
    this.store.put('op', 'config', {
      version,
      routes,
      services,
      limits: {
        maxHeaderBytes: 16384,
        maxBodyBytes: 4194304,
        headerTimeoutMs: 3000,
        idleTimeoutMs: 15000,
      },
    });
  }

  get folder() {
    return this.#folder;
  }
}

export class Router {
  #world;
  #fields;
  #child;

  constructor(world, fields, address) {
    this.#world = world;
    this.#fields = fields;
    Object.assign(this, address);
  }

  get name() {
    return this.#fields.node;
  }

  get process() {
    return this.#child;
  }

  start() {
    const { run, template, environment } = deployment();
    const settings = join(this.#world.folder, `${this.name}.ini`);
    writeFileSync(settings, fill(template, this.#fields));
    const [, ...args] = fill(run, this.#fields).split(' ');
    this.#world.record.write(`${this.name} starts: node ${args.join(' ')}`);
    this.#child = this.#world.spawn(
      process.execPath,
      args,
      { ...environment, SESAMEGRADE_CONFIG: settings },
      join(this.#world.folder, `${this.name}.log`),
    );
    this.#child.once('exit', (code, signal) => {
      this.#world.record.write(
        `${this.name} has ended:`,
        signal ?? `code ${code}`,
      );
    });
    this.#fields.bootstrap = false;
  }

  kill(signal) {
    this.#world.record.write(`${this.name} gets ${signal}`);
    this.#child.kill(signal);
  }

  get isRunning() {
    return this.#child?.exitCode === null && this.#child.signalCode === null;
  }

  /** Memory of the process in MB, without that of the program's file; 0 if it has ended. */
  get memory() {
    try {
      const status = readFileSync(`/proc/${this.#child.pid}/status`, 'utf8');
      return Number(/^RssAnon:\s+(\d+) kB$/mu.exec(status)?.[1] ?? 0) / 1024;
    } catch {
      return 0;
    }
  }

  /** Resolves when the readiness check succeeds; false if it does not within 20 s. */
  async waitUntilReady() {
    for (let attempt = 0; attempt < 200; attempt += 1) {
      const status = await new Promise(resolve => {
        const request = http.get(
          { host: this.host, port: this.ready, path: '/ready' },
          response => {
            response.resume();
            resolve(response.statusCode);
          },
        );
        request.on('error', () => resolve(0));
      });
      if (status === 200) {
        return true;
      }
      await pause(100);
    }
    return false;
  }
}

/** A server in a process of its own, which registers itself in the store while it runs. */
export class Server {
  #world;
  #options;
  #child;
  #port;
  #born;
  #listeners = [];

  /** `options` are passed to `server.mjs`, beside `id`, `service` and `port`. */
  constructor(world, options) {
    this.#world = world;
    this.#options = options;
  }

  get id() {
    return this.#options.id;
  }

  get address() {
    return `127.0.0.1:${this.#port}`;
  }

  get isRunning() {
    return this.#child?.exitCode === null && this.#child.signalCode === null;
  }

  /** Calls the listener with each thing that the server reports. */
  onReport(listener) {
    this.#listeners.push(listener);
  }

  onEnd(listener) {
    this.#child.once('exit', listener);
  }

  async start() {
    this.#port ??= (await freePorts(1))[0];
    const born = Date.now();
    this.#born = born;
    const options = { ...this.#options, port: this.#port, born };
    this.#child = this.#world.spawn(process.execPath, [
      SERVER_PROGRAM,
      JSON.stringify(options),
    ]);
    let rest = '';
    const listening = new Promise(resolve => {
      this.#child.stdout.on('data', bytes => {
        const lines = (rest + bytes).split('\n');
        rest = lines.pop();
        for (const line of lines) {
          const report = JSON.parse(line);
          if (report.kind === 'listening') {
            resolve();
          } else {
            this.#world.record.write(this.id, report);
            this.#listeners.forEach(listener => listener(report));
          }
        }
      });
    });
    await listening;
    this.#world.record.write(`${this.id} runs at ${this.address}`);
    this.#register(born);
    this.#child.once('exit', (code, signal) => {
      this.#world.record.write(
        `${this.id} has ended:`,
        signal ?? `code ${code}`,
      );
    });
  }

  /** Writes the entry once the store takes it; it changes only when more than `seq` changes. */
  async #register(born) {
    while (this.#world.store.isSilent) {
      await pause(50);
    }
    if (this.isRunning && born === this.#born) {
      this.#world.store.put('servers', this.id, this.#entry(born));
    }
  }

  /** Ends the process, and starts another one with another version under the id and address. */
  async restart(version, downMs) {
    this.#child.kill('SIGKILL');
    await once(this.#child, 'exit');
    await pause(downMs);
    this.#options = { ...this.#options, version };
    await this.start();
  }

  /** Leaves as planned: serves on for `drainMs` and a little longer, and ends. */
  async leave(drainMs) {
    this.#world.record.write(`${this.id} leaves`);
    const entry = this.#entry(this.#born);
    this.#world.store.put('servers', this.id, { ...entry, state: 'draining' });
    await pause(drainMs + 500);
    this.#child.kill('SIGKILL');
    this.#world.store.drop('servers', this.id);
  }

  #entry(born) {
    const { service, slots = 64, version = 'v1' } = this.#options;
    return {
      service,
      address: this.address,
      zone: 'a',
      version,
      slots,
      state: 'ready',
      warmupMs: 0,
      seq: 0,
      born,
    };
  }
}

/** Runs a case; what it throws means that it could not run. */
export async function runCase(folder, run) {
  const record = new Record(folder);
  const world = new World(record);
  let code = EXIT.notRun;
  try {
    await world.start();
    code = await run(world, record);
  } catch (error) {
    record.write('could not run:', String(error?.stack ?? error));
  } finally {
    await world.end();
  }
  record.write(
    code === EXIT.broken ? 'BROKEN' : code === EXIT.held ? 'HELD' : 'NOT RUN',
  );
  console.log(`exit ${code}`);
  process.exit(code);
}
