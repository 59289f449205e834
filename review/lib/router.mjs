/** Starts, signals and restarts routers with the `run` line and the template of the deploy file. */
import { spawn } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { join } from 'node:path';

/** Delay after which the platform starts a process again that has ended. */
const RESTART_DELAY_MS = 500;
/** The template names no port for metrics, so that each router has a loopback address of its own. */
const METRICS_PORT = 9464;

const system = readFileSync('deploy/system.toml', 'utf8');
const template = readFileSync('deploy/router.ini.template', 'utf8');
const [, runLine] = /^run = "(.*)"$/mu.exec(system);
const [, secret] = /SESAMEGRADE_PEER_SECRET = "(.*?)"/u.exec(system);

function valueAt(fields, path) {
  const value = path
    .split('.')
    .reduce((inner, name) => (inner == null ? inner : inner[name]), fields);
  return Array.isArray(value) ? value.join(',') : String(value ?? '');
}

function render(text, fields) {
  return text.replace(/\{\{([\w.]+)\}\}/gu, (_all, path) =>
    valueAt(fields, path),
  );
}

export class Router {
  #options;
  #child;
  #isSupervised = true;
  #hasSignalled = new WeakSet();
  #buffer = '';
  /** How each process ended that nobody had signalled, and how long after its start. */
  ownEnds = [];
  /** Log lines as objects. */
  lines = [];

  /** `options`: name, zone, host, ports, seeds, store, folder, bootstrap, record. */
  constructor(options) {
    this.#options = options;
  }

  get name() {
    return this.#options.name;
  }

  get front() {
    return { host: this.#options.host, port: this.#options.ports[0] };
  }

  get ready() {
    return { host: this.#options.host, port: this.#options.ports[1] };
  }

  get control() {
    return `${this.#options.host}:${this.#options.ports[2]}`;
  }

  start() {
    const { name, zone, host, ports, seeds, store, folder, record } =
      this.#options;
    const fields = {
      node: name,
      zone,
      bootstrap: this.#options.bootstrap ?? false,
      listen: {
        front: `${host}:${ports[0]}`,
        ready: `${host}:${ports[1]}`,
        control: `${host}:${ports[2]}`,
      },
      limits: { cpuShare: 0.459, cores: 1 },
      seeds: seeds(),
      platform: { address: store },
      bounds: {
        drainMs: 2000,
        configApplyMs: 2000,
        graceS: 8,
        retryRatio: 0.2,
        retryWindowS: 10,
        retrySlack: 126,
      },
    };
    const file = join(folder, `${name}.ini`);
    writeFileSync(file, render(template, fields));
    const [program, ...parameters] = render(runLine, fields).split(' ');
    const child = spawn(
      program === 'node' ? process.execPath : program,
      parameters,
      {
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          SESAMEGRADE_CONFIG: file,
          SESAMEGRADE_PEER_SECRET: secret,
        },
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    this.#child = child;
    const startedAt = Date.now();
    record(`router ${name}: process started`);
    child.stdout.on('data', bytes => {
      this.#onOutput(String(bytes));
    });
    child.stderr.on('data', bytes => {
      for (const line of String(bytes).split('\n')) {
        if (/^\w*Error\b/u.test(line)) {
          record(`router ${name}: stderr: ${line.trim()}`);
        }
      }
    });
    child.once('exit', (code, signal) => {
      record(`router ${name}: process ended, ${signal ?? `exit code ${code}`}`);
      if (!this.#hasSignalled.has(child)) {
        this.ownEnds.push({
          how: signal ?? `exit code ${code}`,
          afterMs: Date.now() - startedAt,
        });
      }
      if (this.#isSupervised) {
        setTimeout(() => {
          if (this.#isSupervised) {
            this.start();
          }
        }, RESTART_DELAY_MS);
      }
    });
  }

  signal(name) {
    this.#options.record(`router ${this.name}: ${name} sent`);
    if (name !== 'SIGHUP') {
      this.#hasSignalled.add(this.#child);
    }
    this.#child.kill(name);
  }

  /** Resolves when the router answers its readiness check with 200. */
  async waitUntilReady(limitMs = 15_000) {
    const { host, port } = this.ready;
    const endsAt = Date.now() + limitMs;
    while (Date.now() < endsAt) {
      const isReady = await fetch(`http://${host}:${port}/ready`).then(
        response => response.ok,
        () => false,
      );
      if (isReady) {
        return true;
      }
      await pause(50);
    }
    return false;
  }

  /** Ends the process for good. */
  async stop() {
    this.#isSupervised = false;
    const child = this.#child;
    if (child && child.exitCode === null && child.signalCode === null) {
      this.#hasSignalled.add(child);
      const ended = new Promise(resolve => {
        child.once('exit', resolve);
      });
      child.kill('SIGKILL');
      await ended;
    }
  }

  #onOutput(text) {
    this.#buffer += text;
    const lines = this.#buffer.split('\n');
    this.#buffer = lines.pop();
    for (const line of lines) {
      try {
        this.lines.push(JSON.parse(line));
      } catch {
        // Not a log line.
      }
    }
  }
}

export function pause(ms) {
  return new Promise(resolve => {
    setTimeout(resolve, ms);
  });
}

function isFree(host, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, host, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

/** Returns a loopback address whose ports for a router are free. */
async function freeHost() {
  for (;;) {
    const octet = () => 1 + Math.floor(Math.random() * 250);
    const host = `127.${octet()}.${octet()}.${octet()}`;
    if (await isFree(host, METRICS_PORT)) {
      return host;
    }
  }
}

async function freePort(host) {
  const server = createServer();
  await new Promise(resolve => {
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise(resolve => {
    server.close(resolve);
  });
  return port;
}

/** Creates routers, one an availability zone, all with the same ports as on the platform. */
export async function createRouters(
  count,
  { store, folder, record, bootstrap },
) {
  const routers = [];
  for (let index = 0; index < count; index += 1) {
    const host = await freeHost();
    const ports = [
      await freePort(host),
      await freePort(host),
      await freePort(host),
    ];
    routers.push(
      new Router({
        name: `front-${index + 1}`,
        zone: `zone-${'abc'[index % 3]}`,
        host,
        ports,
        seeds: () => routers.slice(0, 3).map(({ control }) => control),
        store: store(index),
        folder,
        bootstrap,
        record,
      }),
    );
  }
  return routers;
}
