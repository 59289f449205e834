/** Hands messages to one reader in the order in which they were put in. */
export class Mailbox<Message> {
  readonly #messages: Message[] = [];
  #deliver: ((message: Message) => void) | undefined;

  put(message: Message): void {
    const deliver = this.#deliver;
    if (deliver) {
      this.#deliver = undefined;
      deliver(message);
    } else {
      this.#messages.push(message);
    }
  }

  /** Resolves with the next message; only one call may wait at a time. */
  take(): Promise<Message> {
    const message = this.#messages.shift();
    return message === undefined
      ? new Promise(resolve => {
          this.#deliver = resolve;
        })
      : Promise.resolve(message);
  }
}
