//! The event loop of a thread.

use std::cell::{OnceCell, RefCell};
use std::io;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::sync::Arc;

use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use slab::Slab;

use crate::notifier::Notifier;
use crate::source::Source;

/// Most events that one wait returns. Further ones are returned by the next wait.
const EVENTS_MAX: usize = 256;

/// Identifies the notifier in events.
const NOTIFIER: u64 = u64::MAX;

/// Events of the input of a socket, once for each change.
const INPUT: EpollFlags = EpollFlags::EPOLLIN
    .union(EpollFlags::EPOLLRDHUP)
    .union(EpollFlags::EPOLLET);

/// Events of a socket in both directions. A new socket takes output, which would be an event at
/// once, so only sockets that have refused output are watched for it.
const INPUT_AND_OUTPUT: EpollFlags = INPUT.union(EpollFlags::EPOLLOUT);

/// Events after which the socket returns no further input.
const INPUT_ENDED: EpollFlags = EpollFlags::EPOLLRDHUP
    .union(EpollFlags::EPOLLHUP)
    .union(EpollFlags::EPOLLERR);

/// Events after which the socket takes no further output.
const OUTPUT_ENDED: EpollFlags = EpollFlags::EPOLLHUP.union(EpollFlags::EPOLLERR);

thread_local! {
    static CURRENT: OnceCell<Rc<Reactor>> = const { OnceCell::new() };
}

/// The event loop of a thread.
#[derive(Debug)]
pub(crate) struct Reactor {
    epoll: Epoll,
    notifier: Arc<Notifier>,
    sources: RefCell<Slab<Rc<Source>>>,
    events: RefCell<Vec<EpollEvent>>,
}

/// Key of a socket in the event loop.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SourceKey(usize);

impl SourceKey {
    /// The key in events.
    fn data(self) -> u64 {
        u64::try_from(self.0).unwrap_or(NOTIFIER)
    }
}

impl Reactor {
    /// The event loop of the current thread, which is created at the first call.
    ///
    /// # Errors
    ///
    /// Fails if the process has no free descriptor.
    pub(crate) fn current() -> io::Result<Rc<Self>> {
        CURRENT.with(|current| {
            if let Some(reactor) = current.get() {
                return Ok(Rc::clone(reactor));
            }
            let reactor = Rc::new(Self::new()?);
            Ok(Rc::clone(current.get_or_init(|| reactor)))
        })
    }

    fn new() -> nix::Result<Self> {
        let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?;
        let notifier = Notifier::new()?;
        let event = EpollEvent::new(EpollFlags::EPOLLIN, NOTIFIER);
        epoll.add(notifier.descriptor(), event)?;
        Ok(Self {
            epoll,
            notifier: Arc::new(notifier),
            sources: RefCell::default(),
            events: RefCell::new(vec![EpollEvent::empty(); EVENTS_MAX]),
        })
    }

    /// Waker of the future that the loop runs.
    pub(crate) fn notifier(&self) -> &Arc<Notifier> {
        &self.notifier
    }

    /// Adds a socket, which is watched for output as well if it does not take any yet.
    ///
    /// # Errors
    ///
    /// Fails if the system does not watch the socket.
    pub(crate) fn add<S>(&self, socket: S, source: Rc<Source>) -> io::Result<SourceKey>
    where
        S: AsFd,
    {
        let flags = if source.write.is_ready() {
            INPUT
        } else {
            INPUT_AND_OUTPUT
        };
        let mut sources = self.sources.borrow_mut();
        let entry = sources.vacant_entry();
        let key = SourceKey(entry.key());
        self.epoll.add(socket, EpollEvent::new(flags, key.data()))?;
        entry.insert(source);
        Ok(key)
    }

    /// Watches a socket for output that has refused some.
    ///
    /// # Errors
    ///
    /// Fails if the system does not watch the socket.
    pub(crate) fn watch_output<S>(&self, socket: S, key: SourceKey) -> io::Result<()>
    where
        S: AsFd,
    {
        let mut event = EpollEvent::new(INPUT_AND_OUTPUT, key.data());
        Ok(self.epoll.modify(socket, &mut event)?)
    }

    /// Removes a socket that is about to be closed, which ends its events.
    pub(crate) fn remove(&self, key: SourceKey) {
        self.sources.borrow_mut().try_remove(key.0);
    }

    /// Waits for events and wakes the tasks that wait for them.
    ///
    /// # Errors
    ///
    /// Fails if the system call does.
    pub(crate) fn wait(&self, timeout: EpollTimeout) -> io::Result<()> {
        let mut events = self.events.borrow_mut();
        let count = match self.epoll.wait(&mut events, timeout) {
            Ok(count) => count,
            Err(nix::Error::EINTR) => 0,
            Err(error) => return Err(error.into()),
        };
        // Tasks that are woken from here on are seen before the next wait.
        self.notifier.end_wait();
        for event in &events[..count] {
            self.handle(*event);
        }
        Ok(())
    }

    fn handle(&self, event: EpollEvent) {
        if event.data() == NOTIFIER {
            return self.notifier.reset();
        }
        let key = usize::try_from(event.data()).unwrap_or(usize::MAX);
        // A waker may drop sockets, so the map is not borrowed while tasks are woken. A socket that
        // has taken the place of a closed one is asked in vain.
        let source = self.sources.borrow().get(key).map(Rc::clone);
        let Some(source) = source else {
            return;
        };
        let flags = event.events();
        let input_ended = flags.intersects(INPUT_ENDED);
        let output_ended = flags.intersects(OUTPUT_ENDED);
        if input_ended || flags.contains(EpollFlags::EPOLLIN) {
            source.read.set_ready(input_ended);
        }
        if output_ended || flags.contains(EpollFlags::EPOLLOUT) {
            source.write.set_ready(output_ended);
        }
    }
}
